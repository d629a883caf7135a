import type { EventLog } from '../logging/index.js';
import type { Clock } from '../utils/index.js';
import type { FleetVm, VmFleetPort, VmOrderAnswer, VmOrderRefusal } from '../vms/index.js';

/** Something that is to be done to a VM. */
export type VmOrder =
  | { readonly type: 'move'; readonly vm: string; readonly toPool: string }
  | { readonly type: 'maintain'; readonly vm: string; readonly wave: number };

/** Options of {@link VmOrders}. */
export interface VmOrdersOptions {
  readonly port: VmFleetPort;
  readonly holder: string;
  readonly term: number;
  readonly clock: Clock;
  readonly events: EventLog;
  /**
   * Monotonic time from which on orders may be given. An earlier holder that does not know yet that
   * it was replaced may still give some; both would take turns on one VM.
   */
  readonly notBeforeMs: number;
  readonly onStaleTerm: () => void;
}

/** What became of an order; `unanswered` means that it may have been carried out. */
export type VmOrderOutcome = 'accepted' | VmOrderRefusal | 'unanswered' | 'too-early';

interface Away {
  readonly order: VmOrder;
  readonly targetIdBefore: string | undefined;
  readonly orderedAtMs: number;
}

/** Time after an order before which the list of VMs may not show it yet, in milliseconds. */
const SETTLE_MS = 700;

/** Gives orders for VMs, and knows which VMs are away because of them. */
export class VmOrders {
  private readonly options: VmOrdersOptions;

  private readonly away = new Map<string, Away>();

  /**
   * Starts without orders.
   * @param options - The port, and who orders.
   */
  constructor(options: VmOrdersOptions) {
    this.options = options;
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
   * Takes note of which VMs are back.
   * @param vms - The VMs as listed.
   * @param askedAtMs - When the list was asked for, by the monotonic clock.
   */
  noteList(vms: readonly FleetVm[], askedAtMs: number): void {
    vms.forEach(({ vm, state, targetId }) => {
      const away = this.away.get(vm);
      if (away === undefined || askedAtMs - away.orderedAtMs < SETTLE_MS) return;
      const isBack = state === 'up' && (targetId === undefined || targetId !== away.targetIdBefore);
      if (isBack) this.away.delete(vm);
    });
  }

  /**
   * Gives an order. The VM counts as away from before the order is sent, since an order without an
   * answer may have been carried out; a refused one takes that back.
   * @param order - The order.
   * @param targetId - Lifetime of the target on the VM, as listed last.
   * @returns What became of it.
   */
  async give(order: VmOrder, targetId: string | undefined): Promise<VmOrderOutcome> {
    const { clock, notBeforeMs } = this.options;
    const orderedAtMs = clock.monotonicMs();
    if (orderedAtMs < notBeforeMs) return 'too-early';
    const targetIdBefore = this.away.get(order.vm)?.targetIdBefore ?? targetId;
    this.away.set(order.vm, { order, targetIdBefore, orderedAtMs });
    const outcome = await this.send(order);
    if (outcome !== 'accepted' && outcome !== 'unanswered') this.away.delete(order.vm);
    this.report(order, outcome);
    return outcome;
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
