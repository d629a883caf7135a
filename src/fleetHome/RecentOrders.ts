import type { KeyedRecord } from '../store/index.js';
import type { Clock } from '../utils/index.js';
import { encodeVmOrderRecord, encodeVmOrderRemoval, type VmOrderRecord } from './VmOrderRecord.js';

/** Options of {@link RecentOrders}. */
export interface RecentOrdersOptions {
  readonly clock: Clock;
  /** Time that has to pass between the orders of two holders for one VM, in milliseconds. */
  readonly orderLeaseMs: number;
  /** Latest orders of earlier holders, as they were stored when this one began. */
  readonly orderRecords: readonly VmOrderRecord[];
  /** Stores records; rejects where this holder has been replaced. */
  readonly store: (records: readonly KeyedRecord[]) => Promise<void>;
}

interface RecentOrder {
  readonly wave: number | undefined;
  /** Monotonic time at which the order may have been given last. */
  readonly givenAtMs: number;
}

/** Margin on the time between the orders of two holders, in milliseconds. */
const ORDER_MARGIN_MS = 300;

/**
 * Which orders for VMs are so recent that another holder must not order the same VM.
 *
 * Guards against two holders that take turns on one VM. A successor cannot tell how old a stored
 * order is: the time of day of two holders may be 40 minutes apart, so by a stored time it would
 * take an order of this second for an old one. So a stored order counts as recent until a holder
 * that has waited its lease out, by its steady clock, has stored that. Such a record is rare: one
 * for all orders of a look at the fleet.
 */
export class RecentOrders {
  private readonly options: RecentOrdersOptions;

  private readonly recent: Map<string, RecentOrder>;

  /** VMs that an earlier holder has ordered, with the monotonic time until which they are left. */
  private readonly heldUntilMs: ReadonlyMap<string, number>;

  private isSettling = false;

  /**
   * Takes the orders of earlier holders over: each may have been given at this moment.
   * @param options - Stored orders, and the lease on each.
   */
  constructor(options: RecentOrdersOptions) {
    this.options = options;
    const nowMs = options.clock.monotonicMs();
    const recent = options.orderRecords.filter(({ isSettled }) => isSettled !== true);
    this.recent = new Map(recent.map(({ vm, wave }) => [vm, { wave, givenAtMs: nowMs }]));
    this.heldUntilMs = new Map(recent.map(({ vm }) => [vm, nowMs + this.leaseMs]));
  }

  /**
   * Lists the VMs that must be left alone for now, since an earlier holder has just ordered them.
   * @returns Their names.
   */
  listHeld(): readonly string[] {
    const nowMs = this.options.clock.monotonicMs();
    return [...this.heldUntilMs].filter(([, atMs]) => nowMs < atMs).map(([vm]) => vm);
  }

  /**
   * Tells whether a VM must be left alone for now.
   * @param vm - The VM.
   * @returns Whether an earlier holder may just have ordered it.
   */
  isHeld(vm: string): boolean {
    return this.options.clock.monotonicMs() < (this.heldUntilMs.get(vm) ?? 0);
  }

  /**
   * Takes note that an order may be carried out from now on; called before it is stored, and once
   * more when its call has ended.
   * @param order - The order as it is stored.
   */
  note({ vm, wave }: VmOrderRecord): void {
    this.recent.set(vm, { wave, givenAtMs: this.options.clock.monotonicMs() });
  }

  /**
   * Stores of the orders whose lease is over that they are no longer recent. Of a move nothing is
   * kept; of a maintenance, that it was ordered.
   * @returns Resolves once that is stored, or was given up: the next call tries again.
   */
  async settle(): Promise<void> {
    const overMs = this.options.clock.monotonicMs() - this.leaseMs;
    const over = [...this.recent].filter(([, { givenAtMs }]) => givenAtMs < overMs);
    if (over.length === 0 || this.isSettling) return;
    this.isSettling = true;
    try {
      await this.options.store(
        over.map(([vm, { wave }]) =>
          wave === undefined
            ? encodeVmOrderRemoval(vm)
            : encodeVmOrderRecord({ vm, wave, isSettled: true }),
        ),
      );
      over
        .filter(([vm, order]) => this.recent.get(vm) === order)
        .forEach(([vm]) => this.recent.delete(vm));
    } catch {
      // The writer has told why; the successor takes these orders for recent.
    } finally {
      this.isSettling = false;
    }
  }

  private get leaseMs(): number {
    return this.options.orderLeaseMs + ORDER_MARGIN_MS;
  }
}
