import type { KeyedRecord } from '../store/index.js';
import type { Clock } from '../utils/index.js';
import { encodeVmOrderRecord, encodeVmOrderRemoval, type VmOrderRecord } from './VmOrderRecord.js';

/** Options of {@link RecentOrders}. */
export interface RecentOrdersOptions {
  readonly clock: Clock;
  /** Minimum time between the orders of two holders for one VM, in milliseconds. */
  readonly orderLeaseMs: number;
  /** Latest orders of earlier holders, as stored when this holder started. */
  readonly orderRecords: readonly VmOrderRecord[];
  /** Stores records; rejects if this holder has been replaced. */
  readonly store: (records: readonly KeyedRecord[]) => Promise<void>;
}

interface RecentOrder {
  readonly wave: number | undefined;
  /** Latest monotonic time at which the order may have been issued. */
  readonly issuedAtMs: number;
}

/** Safety margin added to the order lease, in milliseconds. */
const ORDER_MARGIN_MS = 300;

/**
 * Tracks the orders for VMs whose lease has not ended. While an order is recent in this sense,
 * another holder must not order the same VM; otherwise two holders could order it in turns.
 *
 * A stored time cannot show the age of an order: the wall clocks of two holders may be 40 minutes
 * apart, so a successor could take an order of this second for an old one. A stored order therefore
 * counts as recent until a holder has waited for the lease by its monotonic clock and has stored
 * that the lease is over. These writes are rare: one for all orders of a pass over the fleet.
 */
export class RecentOrders {
  private readonly options: RecentOrdersOptions;

  private readonly recent: Map<string, RecentOrder>;

  /** Monotonic end of the lease on each VM that an earlier holder has ordered. */
  private readonly leasedUntilMs: ReadonlyMap<string, number>;

  private isSettling = false;

  /**
   * Takes over the orders of earlier holders. Each of them may have been issued at this moment.
   * @param options - Stored orders and the lease time.
   */
  constructor(options: RecentOrdersOptions) {
    this.options = options;
    const nowMs = options.clock.monotonicMs();
    const recent = options.orderRecords.filter(({ isSettled }) => isSettled !== true);
    this.recent = new Map(recent.map(({ vm, wave }) => [vm, { wave, issuedAtMs: nowMs }]));
    this.leasedUntilMs = new Map(recent.map(({ vm }) => [vm, nowMs + this.leaseMs]));
  }

  /**
   * Lists the VMs that must not be ordered because an earlier holder's lease is still running.
   * @returns The names of the VMs.
   */
  listLeasedVms(): readonly string[] {
    const nowMs = this.options.clock.monotonicMs();
    return [...this.leasedUntilMs].filter(([, atMs]) => nowMs < atMs).map(([vm]) => vm);
  }

  /**
   * Tells whether an earlier holder's lease on a VM is still running.
   * @param vm - The VM.
   * @returns Whether the VM must not be ordered.
   */
  isLeased(vm: string): boolean {
    return this.options.clock.monotonicMs() < (this.leasedUntilMs.get(vm) ?? 0);
  }

  /**
   * Records that an order may be carried out from now on. Called before the order is stored and
   * again after the platform call has ended.
   * @param order - The order as stored.
   */
  recordOrder({ vm, wave }: VmOrderRecord): void {
    this.recent.set(vm, { wave, issuedAtMs: this.options.clock.monotonicMs() });
  }

  /**
   * Stores that the orders whose lease is over are no longer recent. The record of a move is
   * removed; the record of a maintenance is kept and marked as settled.
   * @returns Resolves once the records are stored or the write has failed; the next call retries.
   */
  async settle(): Promise<void> {
    const expiredBeforeMs = this.options.clock.monotonicMs() - this.leaseMs;
    const expired = [...this.recent].filter(([, { issuedAtMs }]) => issuedAtMs < expiredBeforeMs);
    if (expired.length === 0 || this.isSettling) return;
    this.isSettling = true;
    try {
      await this.options.store(
        expired.map(([vm, { wave }]) =>
          wave === undefined
            ? encodeVmOrderRemoval(vm)
            : encodeVmOrderRecord({ vm, wave, isSettled: true }),
        ),
      );
      expired
        .filter(([vm, order]) => this.recent.get(vm) === order)
        .forEach(([vm]) => this.recent.delete(vm));
    } catch {
      // The writer reports the cause; a successor treats these orders as recent.
    } finally {
      this.isSettling = false;
    }
  }

  private get leaseMs(): number {
    return this.options.orderLeaseMs + ORDER_MARGIN_MS;
  }
}
