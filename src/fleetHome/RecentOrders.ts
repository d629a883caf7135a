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
  /** Whether the order is being stored or sent, so that it may still be issued. */
  readonly isInProgress: boolean;
  /** Latest monotonic time at which the order may have been issued, unless it is in progress. */
  readonly issuedAtMs: number;
}

/** Safety margin added to the order lease, in milliseconds. */
const ORDER_MARGIN_MS = 300;
/**
 * Minimum time between two writes of ages, in milliseconds: a successor waits at most this much and
 * one pass longer than needed.
 */
const AGE_INTERVAL_MS = 500;

/**
 * Tracks the orders for VMs whose lease has not ended. While an order is recent in this sense,
 * another holder must not order the same VM; otherwise two holders could order it in turns.
 *
 * A stored time cannot show the age of an order: the wall clocks of two holders may be 40 minutes
 * apart, so a successor could take an order of this second for an old one. A stored order therefore
 * counts as recent until holders have waited for the lease by their monotonic clocks and have
 * stored that it is over.
 *
 * Guards against VMs that nobody orders while each holder lives for less than a lease: each would
 * wait from the beginning. Holders therefore store how long they have waited, and successors wait
 * for the rest. The time between two holders is not counted. These writes are rare: two a second
 * for all orders, and one for the orders that settle in a pass over the fleet.
 */
export class RecentOrders {
  private readonly options: RecentOrdersOptions;

  private readonly recent: Map<string, RecentOrder>;

  /** Monotonic end of the lease on each VM that an earlier holder has ordered. */
  private readonly leasedUntilMs: ReadonlyMap<string, number>;

  private isSettling = false;

  private agesStoredAtMs: number;

  /**
   * Takes over the orders of earlier holders. Each of them may have been issued at this moment, or
   * as long before it as an earlier holder has stored.
   * @param options - Stored orders and the lease time.
   */
  constructor(options: RecentOrdersOptions) {
    this.options = options;
    const nowMs = options.clock.monotonicMs();
    const recent = options.orderRecords.filter(({ isSettled }) => isSettled !== true);
    this.agesStoredAtMs = nowMs;
    this.recent = new Map(
      recent.map(({ vm, wave, ageMs = 0 }) => [
        vm,
        { wave, isInProgress: false, issuedAtMs: nowMs - ageMs },
      ]),
    );
    this.leasedUntilMs = new Map(
      [...this.recent].map(([vm, { issuedAtMs }]) => [vm, issuedAtMs + this.leaseMs]),
    );
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
   * Records that an order is in progress. Called before the order is stored.
   * @param order - The order as stored.
   */
  recordStart(order: VmOrderRecord): void {
    this.record(order, true);
  }

  /**
   * Records that an order is not in progress any more. Called after the platform call has ended; an
   * order without an answer counts from then on.
   * @param order - The order as stored.
   */
  recordEnd(order: VmOrderRecord): void {
    this.record(order, false);
  }

  private record({ vm, wave }: VmOrderRecord, isInProgress: boolean): void {
    this.recent.set(vm, { wave, isInProgress, issuedAtMs: this.options.clock.monotonicMs() });
  }

  /**
   * Stores that the orders whose lease is over are no longer recent, and the ages of the others.
   * The record of a move is removed; the record of a maintenance is kept and marked as settled.
   * @returns Resolves once the records are stored or the write has failed; the next call retries.
   */
  async settle(): Promise<void> {
    const nowMs = this.options.clock.monotonicMs();
    const isExpired = ({ issuedAtMs }: RecentOrder): boolean => issuedAtMs < nowMs - this.leaseMs;
    const ended = [...this.recent].filter(([, { isInProgress }]) => !isInProgress);
    const expired = ended.filter(([, order]) => isExpired(order));
    const aged = this.areAgesDue(nowMs) ? ended.filter(([, order]) => !isExpired(order)) : [];
    if (expired.length + aged.length === 0 || this.isSettling) return;
    this.isSettling = true;
    if (aged.length > 0) this.agesStoredAtMs = nowMs;
    try {
      await this.options.store([
        ...expired.map(([vm, order]) => RecentOrders.encodeSettled(vm, order)),
        ...aged.map(([vm, { wave, issuedAtMs }]) =>
          encodeVmOrderRecord({ vm, wave, ageMs: Math.floor(nowMs - issuedAtMs) }),
        ),
      ]);
      expired
        .filter(([vm, order]) => this.recent.get(vm) === order)
        .forEach(([vm]) => this.recent.delete(vm));
    } catch {
      // The writer reports the cause; a successor treats these orders as recent.
    } finally {
      this.isSettling = false;
    }
  }

  private areAgesDue(nowMs: number): boolean {
    return nowMs - this.agesStoredAtMs >= AGE_INTERVAL_MS;
  }

  private static encodeSettled(vm: string, { wave }: RecentOrder): KeyedRecord {
    return wave === undefined
      ? encodeVmOrderRemoval(vm)
      : encodeVmOrderRecord({ vm, wave, isSettled: true });
  }

  private get leaseMs(): number {
    return this.options.orderLeaseMs + ORDER_MARGIN_MS;
  }
}
