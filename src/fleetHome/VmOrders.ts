import type { EventLog } from '../logging/index.js';
import { mayBeSameLifetime } from '../targets/index.js';
import type { FleetVm, VmFleetPort, VmOrderAnswer, VmOrderRefusal } from '../vms/index.js';
import { RecentOrders, type RecentOrdersOptions } from './RecentOrders.js';
import { encodeVmOrderRecord, type VmOrderRecord } from './VmOrderRecord.js';

/** A change of a VM's pool. */
export interface VmMoveOrder {
  readonly type: 'move';
  readonly vm: string;
  readonly toPool: string;
}

/** A move or a maintenance of a VM. */
export type VmOrder =
  VmMoveOrder | { readonly type: 'maintain'; readonly vm: string; readonly wave: number };

/** Options of {@link VmOrders}. */
export interface VmOrdersOptions extends RecentOrdersOptions {
  readonly port: VmFleetPort;
  readonly holder: string;
  readonly term: number;
  readonly events: EventLog;
  readonly onStaleTerm: () => void;
}

/**
 * Outcome of an order. After `unanswered` it may have been carried out; with `too-early`,
 * `unrecorded` or `outdated` it was not sent.
 */
export type VmOrderOutcome =
  'accepted' | VmOrderRefusal | 'unanswered' | 'too-early' | 'unrecorded' | 'outdated';

/** Refusals after which neither this order nor an earlier copy of it will be carried out. */
export const FINAL_REFUSALS: ReadonlySet<VmOrderOutcome> = new Set(['not-in-wave', 'impossible']);

interface ActiveOrder {
  readonly order: VmOrder;
  readonly targetIdBefore: string | undefined;
  readonly orderedAtMs: number;
  /** Monotonic time at which the order was accepted; absent while it has no answer. */
  readonly acceptedAtMs?: number;
  /** Whether a list has shown the VM in maintenance since the order. */
  readonly wasInMaintenance: boolean;
}

/** Age from which an order may no longer be justified, in milliseconds: five passes of the home. */
const OUTDATED_AFTER_MS = 1_000;
/**
 * Age from which the loads no longer prove that a VM is empty, in milliseconds: the homes of pools
 * keep tasks off a drained VM for 3 s, and the call to the platform takes at most 1 s.
 */
const LOADS_OUTDATED_AFTER_MS = 2_000;
/** Time after an order during which the list of VMs may not yet reflect it, in milliseconds. */
const LIST_LAG_MS = 700;
/**
 * Time after an order by which the list shows its effect, in milliseconds: the VM is not up or has
 * another lifetime. A VM that the list then shows unchanged has not been changed yet.
 */
const EFFECT_LISTED_AFTER_MS = 1_500;

/**
 * Issues orders for VMs and tracks the active ones. An order is active from before it is sent
 * until the list of VMs shows its VM back.
 *
 * A holder that does not know yet that it was replaced could order the same VM as its successor,
 * and the VM would be moved back and forth. Each order is therefore stored before it is sent: a
 * replaced holder cannot store it, and the successor learns which VMs it must not order until the
 * lease ends. Other VMs are ordered at once, since a pool may be waiting with nearly no VMs.
 */
export class VmOrders {
  private readonly options: VmOrdersOptions;

  private readonly activeOrders = new Map<string, ActiveOrder>();

  /** Waves of the maintenance orders of earlier holders whose result is unknown, by VM. */
  private readonly unconfirmed: Map<string, number>;

  private readonly recent: RecentOrders;

  /** VMs with an active order that the latest list shows as down or not at all. */
  private lostVms: ReadonlySet<string> = new Set();

  /** Monotonic time of the request for the loads by which VMs are considered empty. */
  private loadsAskedAtMs = Infinity;

  /**
   * Creates an instance without active orders.
   * @param options - VM platform, holder and stored orders.
   */
  constructor(options: VmOrdersOptions) {
    this.options = options;
    this.recent = new RecentOrders(options);
    this.unconfirmed = new Map(
      options.orderRecords.flatMap(({ vm, wave }) => (wave === undefined ? [] : [[vm, wave]])),
    );
  }

  /**
   * Lists the active orders.
   * @returns The orders.
   */
  listActiveOrders(): readonly VmOrder[] {
    return [...this.activeOrders.values()].map(({ order }) => order);
  }

  /**
   * Tells whether an order for a VM is active.
   * @param vm - The VM.
   * @returns Whether an order for it is active.
   */
  hasActiveOrder(vm: string): boolean {
    return this.activeOrders.has(vm);
  }

  /**
   * Lists the moves that got no answer, which may still be carried out or never be.
   * @returns The active moves without an answer.
   */
  listUnansweredMoves(): readonly VmMoveOrder[] {
    return [...this.activeOrders.values()]
      .filter(({ acceptedAtMs }) => acceptedAtMs === undefined)
      .map(({ order }) => order)
      .filter((order) => order.type === 'move');
  }

  /**
   * Lists the moves whose VMs may still arrive in their pools. One that is down, or not listed any
   * more, may stay away for good, and its pool would wait for it as long as this holder lives.
   * @returns The active moves, except those of lost VMs.
   */
  listArrivingMoves(): readonly VmMoveOrder[] {
    return this.listActiveOrders()
      .filter((order) => order.type === 'move')
      .filter(({ vm }) => !this.lostVms.has(vm));
  }

  /**
   * Tells whether an order without an answer can be repeated, because a list requested now would
   * show its effect if it had been carried out.
   * @param order - The order.
   * @returns Whether the order can be repeated.
   */
  canRepeat({ vm }: VmOrder): boolean {
    const orderedAtMs = this.activeOrders.get(vm)?.orderedAtMs ?? Infinity;
    return this.options.clock.monotonicMs() - orderedAtMs >= EFFECT_LISTED_AFTER_MS;
  }

  /**
   * Lists the VMs that must not be ordered because an earlier holder's lease is still running.
   * @returns The names of the VMs.
   */
  listLeasedVms(): readonly string[] {
    return this.recent.listLeasedVms();
  }

  /**
   * Lists the VMs of a wave whose maintenance an earlier holder has ordered with unknown result. An
   * order without an answer may be carried out until this holder has ordered the maintenance too.
   * @param wave - Number of the wave.
   * @returns The names of the VMs, including VMs whose maintenance is done.
   */
  listUnconfirmedVms(wave: number): readonly string[] {
    return [...this.unconfirmed].filter(([, ofWave]) => ofWave === wave).map(([vm]) => vm);
  }

  /**
   * Stores for successors which orders are no longer recent.
   * @returns Resolves once this is stored or the write has failed; the next call retries.
   */
  settle(): Promise<void> {
    return this.recent.settle();
  }

  /**
   * Sets the time of the loads on which the following orders are based.
   * @param askedAtMs - Monotonic time at which the loads were requested.
   */
  setLoadsTime(askedAtMs: number): void {
    this.loadsAskedAtMs = askedAtMs;
  }

  /**
   * Ends the active orders whose VMs are back according to a list of VMs.
   * @param vms - The VMs as listed.
   * @param askedAtMs - Monotonic time at which the list was requested.
   */
  endCompletedOrders(vms: readonly FleetVm[], askedAtMs: number): void {
    vms.forEach((listed) => {
      const { vm, state, targetId } = listed;
      const active = this.activeOrders.get(vm);
      if (active === undefined) return;
      if (state === 'in-maintenance') {
        this.activeOrders.set(vm, { ...active, wasInMaintenance: true });
      }
      if (state !== 'up' || askedAtMs - active.orderedAtMs < LIST_LAG_MS) return;
      const hasChanged =
        targetId === undefined || !mayBeSameLifetime(targetId, active.targetIdBefore);
      const isBack = hasChanged && VmOrders.isCarriedOut(active, listed);
      if (isBack || VmOrders.hasNoEffect(active, askedAtMs)) this.activeOrders.delete(vm);
    });
    this.lostVms = this.findLostVms(vms, askedAtMs);
  }

  /**
   * Tells whether the change of a VM is the effect of its order. A VM that has crashed is back in
   * another lifetime, too; an order without an answer may then still be carried out.
   */
  private static isCarriedOut(
    { order, acceptedAtMs, wasInMaintenance }: ActiveOrder,
    { pool }: FleetVm,
  ): boolean {
    if (acceptedAtMs !== undefined) return true;
    return order.type === 'move' ? pool === order.toPool : wasInMaintenance;
  }

  private findLostVms(vms: readonly FleetVm[], askedAtMs: number): ReadonlySet<string> {
    const present = new Set(vms.filter(({ state }) => state !== 'down').map(({ vm }) => vm));
    const lost = [...this.activeOrders.values()]
      .filter(({ orderedAtMs }) => askedAtMs - orderedAtMs >= EFFECT_LISTED_AFTER_MS)
      .map(({ order }) => order.vm)
      .filter((vm) => !present.has(vm));
    return new Set(lost);
  }

  /**
   * Tells whether an order was accepted so long ago that a list shows its effect, if it has one.
   * The platform also accepts an order that has already been carried out, which a new home may
   * repeat. The VM's lifetime then stays the same, and the order would otherwise stay active
   * forever.
   */
  private static hasNoEffect({ acceptedAtMs }: ActiveOrder, askedAtMs: number): boolean {
    return acceptedAtMs !== undefined && askedAtMs - acceptedAtMs >= EFFECT_LISTED_AFTER_MS;
  }

  /**
   * Issues an order. It is active from before it is sent, since an order without an answer may have
   * been carried out; a refusal deactivates it again.
   * @param order - The order.
   * @param targetId - Lifetime of the target on the VM in the latest list.
   * @returns Outcome of the order.
   */
  async issue(order: VmOrder, targetId: string | undefined): Promise<VmOrderOutcome> {
    const orderedAtMs = this.options.clock.monotonicMs();
    if (this.recent.isLeased(order.vm)) return 'too-early';
    const before = this.activeOrders.get(order.vm);
    const targetIdBefore = before?.targetIdBefore ?? targetId;
    const wasInMaintenance = before?.wasInMaintenance ?? false;
    const active: ActiveOrder = { order, targetIdBefore, orderedAtMs, wasInMaintenance };
    this.activeOrders.set(order.vm, active);
    const record = { vm: order.vm, wave: order.type === 'maintain' ? order.wave : undefined };
    this.recent.recordStart(record);
    const outcome = (await this.storeRecord(record, orderedAtMs)) ?? (await this.send(order));
    this.recent.recordEnd(record);
    this.applyOutcome(active, outcome, before);
    this.report(order, outcome);
    return outcome;
  }

  /**
   * Updates the active order of a VM. If a repeat was refused or not sent, the earlier order
   * without an answer may still be carried out, so it stays active. Otherwise another VM would be
   * ordered in its place, which is one VM too many.
   */
  private applyOutcome(
    active: ActiveOrder,
    outcome: VmOrderOutcome,
    before: ActiveOrder | undefined,
  ): void {
    const { vm } = active.order;
    if (outcome === 'unanswered') return;
    if (outcome === 'accepted' || FINAL_REFUSALS.has(outcome)) this.unconfirmed.delete(vm);
    if (outcome === 'accepted') {
      this.activeOrders.set(vm, { ...active, acceptedAtMs: this.options.clock.monotonicMs() });
    } else if (before === undefined || FINAL_REFUSALS.has(outcome)) this.activeOrders.delete(vm);
    else this.activeOrders.set(vm, before);
  }

  /**
   * Stores an order before it is sent. Returns a reason if the order must not be sent.
   *
   * A pool's home keeps tasks off a VM for 3 s after it has reported the VM as empty. A slow store
   * or a slow processor may take longer, and a late order would end new tasks on the VM.
   */
  private async storeRecord(
    record: VmOrderRecord,
    orderedAtMs: number,
  ): Promise<'unrecorded' | 'outdated' | undefined> {
    const { clock, store } = this.options;
    try {
      await store([encodeVmOrderRecord(record)]);
    } catch {
      // The writer reports the cause: this holder has been replaced.
      return 'unrecorded';
    }
    const nowMs = clock.monotonicMs();
    const isOutdated =
      nowMs - orderedAtMs >= OUTDATED_AFTER_MS ||
      nowMs - this.loadsAskedAtMs >= LOADS_OUTDATED_AFTER_MS;
    return isOutdated ? 'outdated' : undefined;
  }

  private async send(order: VmOrder): Promise<VmOrderOutcome> {
    try {
      const answer = await this.call(order);
      return answer.type === 'accepted' ? answer.type : answer.reason;
    } catch {
      return 'unanswered';
    }
  }

  private call(order: VmOrder): Promise<VmOrderAnswer> {
    const { port, holder, term } = this.options;
    const issuer = { holder, term };
    return order.type === 'move'
      ? port.moveVm(order.vm, order.toPool, issuer)
      : port.maintainVm(order.vm, order.wave, issuer);
  }

  private report(order: VmOrder, outcome: VmOrderOutcome): void {
    const { events, term, onStaleTerm } = this.options;
    const detail = order.type === 'move' ? order.toPool : `wave ${order.wave}`;
    events.write('vmOrdered', { vm: order.vm, order: order.type, detail, outcome, term });
    if (outcome === 'stale-term') onStaleTerm();
  }
}
