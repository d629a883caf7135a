import type { EventLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type {
  ExpectedPeak,
  PoolDemand,
  PoolSummary,
  TargetLoad,
  VmMove,
} from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { FleetVm } from '../vms/index.js';
import { isEmpty } from './isEmpty.js';
import type { MovePlan, MovePlanner } from './MovePlanner.js';
import type { VmOrders } from './VmOrders.js';
import type { WaveCoordinator } from './WaveCoordinator.js';

/** Options of {@link FleetMoves}. */
export interface FleetMovesOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly orders: VmOrders;
  readonly planner: MovePlanner;
  readonly waves: WaveCoordinator;
  /** Lists the pools whose VMs are switched off until they are moved to another pool. */
  readonly listStandbyPools: () => readonly string[];
  /** Lists the load peaks that pools are expected to have. */
  readonly listExpectedPeaks: () => readonly ExpectedPeak[];
  /**
   * Requests the loads of pools again once the VMs that leave them get no new task; only then do
   * empty targets stay so.
   */
  readonly requestLoads: (pools: ReadonlySet<string>) => Promise<ReadonlyMap<string, TargetLoad>>;
}

/** The fleet as listed in a pass, with what the homes of pools have reported. */
export interface FleetView {
  readonly vms: readonly FleetVm[];
  readonly demands: readonly PoolDemand[];
  readonly loads: ReadonlyMap<string, TargetLoad>;
}

/** Time within which a VM must be empty to be moved, in ms: longer than most tasks run. */
const MOVE_DRAIN_TIMEOUT_MS = 3_000;

interface DrainingMove extends VmMove {
  /** Monotonic time after which the move is abandoned. */
  readonly expiresAtMs: number;
}

/** Plans the moves of VMs between pools, drains the VMs, and orders the moves of empty ones. */
export class FleetMoves {
  private readonly options: FleetMovesOptions;

  /** Planned moves whose VMs are being drained, by VM. */
  private readonly leaving = new Map<string, DrainingMove>();

  /**
   * Creates an instance without planned moves.
   * @param options - Planner, orders and waves of the fleet.
   */
  constructor(options: FleetMovesOptions) {
    this.options = options;
  }

  /**
   * Plans further moves and orders the moves whose VMs are empty.
   * @param view - The fleet as listed.
   * @returns Resolves once the orders have outcomes.
   */
  async advance(view: FleetView): Promise<void> {
    const { clock, requestLoads } = this.options;
    const nowMs = clock.monotonicMs();
    const { moves, pools } = this.plan(view);
    this.reportPools(view, pools);
    moves.forEach((move) => {
      this.leaving.set(move.vm, { ...move, expiresAtMs: nowMs + MOVE_DRAIN_TIMEOUT_MS });
      this.report(move);
    });
    const sourcePools = new Set(moves.map(({ fromPool }) => fromPool));
    const loads = moves.length === 0 ? view.loads : await requestLoads(sourcePools);
    await this.orderMoves(view.vms, loads);
  }

  /**
   * Lists VMs that get no new task: a wave or a move drains them, or a move is unanswered.
   * @returns The names of the VMs.
   */
  listDrainedVms(): ReadonlySet<string> {
    const { orders, waves } = this.options;
    const unanswered = orders.listUnansweredMoves().map(({ vm }) => vm);
    return new Set([...waves.listDrainingVms(), ...this.leaving.keys(), ...unanswered]);
  }

  /**
   * Lists VMs that must not be moved: drained, under an active order or under an earlier lease.
   * @returns The names of the VMs.
   */
  listHeldVms(): ReadonlySet<string> {
    const { orders } = this.options;
    const active = orders.listActiveOrders().map(({ vm }) => vm);
    return new Set([...this.listDrainedVms(), ...active, ...orders.listLeasedVms()]);
  }

  private plan({ vms, demands }: FleetView): MovePlan {
    return this.options.planner.plan({
      demands,
      vms,
      heldVms: this.listHeldVms(),
      usableHeldVms: this.listStayingVms(),
      maintainedVms: new Set(this.options.waves.listDrainingVms()),
      arrivingByPool: this.countArrivingByPool(vms),
      expectedPeaks: this.options.listExpectedPeaks(),
    });
  }

  private report({ vm, fromPool, toPool, reason }: VmMove): void {
    const { events, metrics } = this.options;
    events.write('vmLeaving', { vm, fromPool, toPool, reason });
    metrics.increment('vm_moves', { reason });
  }

  /** Sets the gauges of the pools whose homes have answered, and of the standby pools. */
  private reportPools({ vms }: FleetView, pools: readonly PoolSummary[]): void {
    const { listStandbyPools, metrics } = this.options;
    pools.forEach(({ pool, upCount, neededCount, idleCount }) => {
      metrics.gauge('pool_vms', upCount, { pool, state: 'up' });
      metrics.gauge('pool_vms', neededCount, { pool, state: 'needed' });
      metrics.gauge('pool_vms', idleCount, { pool, state: 'idle' });
    });
    listStandbyPools().forEach((pool) => {
      const offCount = vms.filter((vm) => vm.pool === pool && vm.state === 'up').length;
      metrics.gauge('pool_vms', offCount, { pool, state: 'off' });
    });
  }

  /**
   * Orders the moves whose VMs are empty and repeats the moves that got no answer.
   *
   * Without the repeat, a move that got no answer and was never carried out would count as in
   * progress, and its VM would stay unused, until the next change of homes. Repeating a move that
   * was carried out has no effect.
   */
  private async orderMoves(
    vms: readonly FleetVm[],
    loads: ReadonlyMap<string, TargetLoad>,
  ): Promise<void> {
    const { clock, orders } = this.options;
    const nowMs = clock.monotonicMs();
    const moves = this.getPoolsOfDueMoves();
    const empty = vms
      .filter(({ vm, state }) => state === 'up' && moves.has(vm))
      .filter((vm) => isEmpty(vm, loads));
    const ordered = empty.map(({ vm, targetId }) =>
      orders.issue({ type: 'move', vm, toPool: moves.get(vm)! }, targetId),
    );
    empty.forEach(({ vm }) => this.leaving.delete(vm));
    // A VM that is not empty in time stays in its pool and may be selected again.
    [...this.leaving]
      .filter(([, { expiresAtMs }]) => expiresAtMs < nowMs)
      .forEach(([vm]) => this.leaving.delete(vm));
    await Promise.all(ordered);
  }

  /** Maps VMs whose move has to be ordered or repeated to the pools that they move to. */
  private getPoolsOfDueMoves(): ReadonlyMap<string, string> {
    const { orders } = this.options;
    const unanswered = orders.listUnansweredMoves().filter((order) => orders.canRepeat(order));
    return new Map([...this.leaving.values(), ...unanswered].map(({ vm, toPool }) => [vm, toPool]));
  }

  /** Lists the usable VMs under an earlier lease: neither drained nor under an active order. */
  private listStayingVms(): ReadonlySet<string> {
    const { orders } = this.options;
    const drained = this.listDrainedVms();
    return new Set(
      orders.listLeasedVms().filter((vm) => !drained.has(vm) && !orders.hasActiveOrder(vm)),
    );
  }

  private countArrivingByPool(vms: readonly FleetVm[]): ReadonlyMap<string, number> {
    const { orders } = this.options;
    const counts = new Map<string, number>();
    const increment = (pool: string): unknown => counts.set(pool, (counts.get(pool) ?? 0) + 1);
    this.leaving.forEach(({ toPool }) => increment(toPool));
    orders.listArrivingMoves().forEach(({ toPool }) => increment(toPool));
    // A VM that an earlier home has moved is in transit without an active order of this home.
    vms
      .filter(({ vm, state }) => state === 'moving' && !orders.hasActiveOrder(vm))
      .forEach(({ pool }) => increment(pool));
    return counts;
  }
}
