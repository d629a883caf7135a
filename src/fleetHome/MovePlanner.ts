import {
  IdleWindow,
  type Mechanisms,
  planMoves,
  type PlanMovesInput,
  type PoolPeaks,
  type PoolSummary,
  summarizePools,
  type VmMove,
} from '../systems/index.js';
import type { Clock } from '../utils/index.js';

/** Options of {@link MovePlanner}. */
export interface MovePlannerOptions {
  readonly mechanisms: Mechanisms;
  readonly clock: Clock;
  readonly peaks: PoolPeaks;
  /** Lists the pools whose VMs are switched off until they are moved to another pool. */
  readonly listStandbyPools: () => readonly string[];
}

/** State of the fleet in one pass. */
export type FleetState = Pick<
  PlanMovesInput,
  | 'demands'
  | 'vms'
  | 'heldVms'
  | 'usableHeldVms'
  | 'maintainedVms'
  | 'arrivingByPool'
  | 'expectedPeaks'
>;

/** Planned moves, and the state of the pools by which they were planned. */
export interface MovePlan {
  readonly moves: readonly VmMove[];
  readonly pools: readonly PoolSummary[];
}

/** Plans which VMs move between pools, with the mechanisms that are enabled. */
export class MovePlanner {
  private readonly options: MovePlannerOptions;

  private readonly idleWindow: IdleWindow;

  /**
   * Creates a planner.
   * @param options - Mechanisms and peaks of the pools.
   */
  constructor(options: MovePlannerOptions) {
    this.options = options;
    this.idleWindow = new IdleWindow(options.clock);
  }

  /**
   * Plans moves.
   * @param state - The fleet as listed, and the demand of its pools.
   * @returns The moves, and what they are based on.
   */
  plan(state: FleetState): MovePlan {
    const { mechanisms } = this.options;
    const input = this.createInput(state);
    const pools = summarizePools(input);
    if (!mechanisms.has('vm-moves')) return { moves: [], pools };
    if (!mechanisms.has('idle-vms-off')) return { moves: planMoves(input), pools };
    this.idleWindow.record(new Map(pools.map(({ pool, idleCount }) => [pool, idleCount])));
    const moves = planMoves({ ...input, idleCounts: this.idleWindow.getLeastCounts() });
    this.noteIdleMoves(moves);
    return { moves, pools };
  }

  private createInput(state: FleetState): PlanMovesInput {
    const { clock, mechanisms, peaks, listStandbyPools } = this.options;
    return {
      ...state,
      maintainedVms: mechanisms.has('idle-vms-off') ? state.maintainedVms : new Set(),
      standbyPools: new Set(listStandbyPools()),
      releasesReserves: mechanisms.has('kept-yields-in-shortage'),
      sharesShortages: mechanisms.has('shortages-shared'),
      nowMs: clock.monotonicMs(),
      ...(mechanisms.has('kept-by-peak') ? { reserveCounts: peaks.getReserveCounts() } : {}),
    };
  }

  private noteIdleMoves(moves: readonly VmMove[]): void {
    const idle = moves.filter(({ reason }) => reason === 'idle');
    const pools = new Set(idle.map(({ fromPool }) => fromPool));
    pools.forEach((pool) => {
      const movedCount = idle.filter(({ fromPool }) => fromPool === pool).length;
      this.idleWindow.noteMoved(pool, movedCount);
    });
  }
}
