import type { EventLog } from '../logging/index.js';
import type { FleetVm, VmFleetPort, VmOrderAnswer, VmOrderRefusal } from '../vms/index.js';
import { RecentOrders, type RecentOrdersOptions } from './RecentOrders.js';
import { encodeVmOrderRecord, type VmOrderRecord } from './VmOrderRecord.js';

/** A change of a VM's pool. */
export interface VmMoveOrder {
  readonly type: 'move';
  readonly vm: string;
  readonly toPool: string;
}

/** Something that is to be done to a VM. */
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
 * What became of an order. `unanswered` means that it may have been carried out; `too-early`,
 * `unrecorded` and `outdated` that it was not sent.
 */
export type VmOrderOutcome =
  'accepted' | VmOrderRefusal | 'unanswered' | 'too-early' | 'unrecorded' | 'outdated';

/** Refusals after which the order, sent once or twice, will never be carried out. */
export const NEVER_CARRIED_OUT: ReadonlySet<VmOrderOutcome> = new Set([
  'not-in-wave',
  'impossible',
]);

interface Away {
  readonly order: VmOrder;
  readonly targetIdBefore: string | undefined;
  readonly orderedAtMs: number;
  /** When the order was accepted, by the monotonic clock; absent while it has no answer. */
  readonly acceptedAtMs?: number;
}

/** Age from which the reasons of an order do not hold any more, in milliseconds: five looks. */
const OUTDATED_AFTER_MS = 1_000;
/**
 * Age from which the loads do not hold any more by which a VM is empty, in milliseconds: the homes
 * of pools keep tasks off it for 3 s, and the call of the order takes 1 s at most.
 */
const LOADS_OUTDATED_AFTER_MS = 2_000;
/** Time after an order before which the list of VMs may not show it yet, in milliseconds. */
const SETTLE_MS = 700;
/**
 * Time after an order by which the list shows its VM away or in another lifetime, in milliseconds;
 * one that it shows as it was before has not been changed yet.
 */
const UNCHANGED_AFTER_MS = 1_500;

/**
 * Gives orders for VMs, and knows which VMs are away because of them.
 *
 * Guards against two holders that take turns on one VM: the earlier one does not know yet that it
 * was replaced, and the VM is moved back and forth. An order is stored before it is given, so that
 * a holder that was replaced can give none, and its successor knows which VMs it has to leave alone
 * for a while. All others are ordered at once; a pool may wait for them with nearly no VMs.
 */
export class VmOrders {
  private readonly options: VmOrdersOptions;

  private readonly away = new Map<string, Away>();

  /** Waves of the VMs for whose maintenance by an earlier holder this one has no answer yet. */
  private readonly inDoubt: Map<string, number>;

  private readonly recent: RecentOrders;

  /** When the loads were asked for by which VMs are empty, by the monotonic clock. */
  private loadsAskedAtMs = Infinity;

  /**
   * Starts without orders.
   * @param options - The port, and who orders.
   */
  constructor(options: VmOrdersOptions) {
    this.options = options;
    this.recent = new RecentOrders(options);
    this.inDoubt = new Map(
      options.orderRecords.flatMap(({ vm, wave }) => (wave === undefined ? [] : [[vm, wave]])),
    );
  }

  /**
   * Lists the orders whose VMs are not back yet.
   * @returns The orders.
   */
  listAway(): readonly VmOrder[] {
    return [...this.away.values()].map(({ order }) => order);
  }

  /**
   * Tells whether a VM is away because of an order.
   * @param vm - The VM.
   * @returns Whether it is.
   */
  isAway(vm: string): boolean {
    return this.away.has(vm);
  }

  /**
   * Lists the moves that had no answer. They may be carried out yet, or never.
   * @returns The orders that no list of VMs has shown to be carried out.
   */
  listUnansweredMoves(): readonly VmMoveOrder[] {
    return [...this.away.values()]
      .filter(({ acceptedAtMs }) => acceptedAtMs === undefined)
      .map(({ order }) => order)
      .filter((order) => order.type === 'move');
  }

  /**
   * Tells whether an order without an answer can be repeated: a list that was asked for now would
   * show it if it had been carried out.
   * @param order - The order.
   * @returns Whether its time has come.
   */
  isDueAgain({ vm }: VmOrder): boolean {
    const orderedAtMs = this.away.get(vm)?.orderedAtMs ?? Infinity;
    return this.options.clock.monotonicMs() - orderedAtMs >= UNCHANGED_AFTER_MS;
  }

  /**
   * Lists the VMs that must be left alone for now, since an earlier holder has just ordered them.
   * @returns Their names.
   */
  listTooEarly(): readonly string[] {
    return this.recent.listHeld();
  }

  /**
   * Lists the VMs of a wave whose maintenance an earlier holder has ordered. Without an answer it
   * may be carried out as long as this holder has not ordered it too.
   * @param wave - Number of the wave.
   * @returns Their names, also of those whose maintenance is done.
   */
  listInDoubt(wave: number): readonly string[] {
    return [...this.inDoubt].filter(([, ofWave]) => ofWave === wave).map(([vm]) => vm);
  }

  /**
   * Lets successors know of the orders that are no longer recent.
   * @returns Resolves once that is stored, or was given up until the next call.
   */
  settle(): Promise<void> {
    return this.recent.settle();
  }

  /**
   * Takes note of the loads on which orders rest from now on.
   * @param askedAtMs - When they were asked for, by the monotonic clock.
   */
  noteLoads(askedAtMs: number): void {
    this.loadsAskedAtMs = askedAtMs;
  }

  /**
   * Takes note of which VMs are back.
   * @param vms - The VMs as listed.
   * @param askedAtMs - When the list was asked for, by the monotonic clock.
   */
  noteList(vms: readonly FleetVm[], askedAtMs: number): void {
    vms.forEach(({ vm, state, targetId }) => {
      const away = this.away.get(vm);
      if (away === undefined || askedAtMs - away.orderedAtMs < SETTLE_MS) return;
      const hasChanged = targetId === undefined || targetId !== away.targetIdBefore;
      const isBack = hasChanged || VmOrders.hasChangedNothing(away, askedAtMs);
      if (state === 'up' && isBack) this.away.delete(vm);
    });
  }

  /**
   * Guards against a VM that counts as away for good: the platform also accepts an order that is
   * done already, as a new home repeats it, and then the VM's lifetime stays the same.
   */
  private static hasChangedNothing({ acceptedAtMs }: Away, askedAtMs: number): boolean {
    return acceptedAtMs !== undefined && askedAtMs - acceptedAtMs >= UNCHANGED_AFTER_MS;
  }

  /**
   * Gives an order. The VM counts as away from before the order is sent, since an order without an
   * answer may have been carried out; a refused one takes that back.
   * @param order - The order.
   * @param targetId - Lifetime of the target on the VM, as listed last.
   * @returns What became of it.
   */
  async give(order: VmOrder, targetId: string | undefined): Promise<VmOrderOutcome> {
    const orderedAtMs = this.options.clock.monotonicMs();
    if (this.recent.isHeld(order.vm)) return 'too-early';
    const before = this.away.get(order.vm);
    const targetIdBefore = before?.targetIdBefore ?? targetId;
    const away: Away = { order, targetIdBefore, orderedAtMs };
    this.away.set(order.vm, away);
    const record = { vm: order.vm, wave: order.type === 'maintain' ? order.wave : undefined };
    this.recent.note(record);
    const outcome = (await this.record(record, orderedAtMs)) ?? (await this.send(order));
    this.recent.note(record);
    this.noteOutcome(away, outcome, before);
    this.report(order, outcome);
    return outcome;
  }

  /**
   * Guards against one VM too many: an order without an answer may be carried out after a repeat
   * of it was refused or not sent. Taken back with the repeat, it would count no more, and another
   * VM would take its place.
   */
  private noteOutcome(away: Away, outcome: VmOrderOutcome, before: Away | undefined): void {
    const { vm } = away.order;
    if (outcome === 'unanswered') return;
    if (outcome === 'accepted' || NEVER_CARRIED_OUT.has(outcome)) this.inDoubt.delete(vm);
    if (outcome === 'accepted') {
      this.away.set(vm, { ...away, acceptedAtMs: this.options.clock.monotonicMs() });
    } else if (before === undefined || NEVER_CARRIED_OUT.has(outcome)) this.away.delete(vm);
    else this.away.set(vm, before);
  }

  /**
   * Stores that an order is about to be given; tells why it must not be given, if so.
   *
   * Guards against tasks that an order ends: a pool's home keeps them off a VM for 3 s after it has
   * told that the VM is empty, and a slow store or a slow processor may take longer.
   */
  private async record(
    record: VmOrderRecord,
    orderedAtMs: number,
  ): Promise<'unrecorded' | 'outdated' | undefined> {
    const { clock, store } = this.options;
    try {
      await store([encodeVmOrderRecord(record)]);
    } catch {
      // The writer has told why; this holder has been replaced.
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
