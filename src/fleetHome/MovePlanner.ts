import {
  type Mechanisms,
  planMoves,
  type PlanMovesInput,
  type PoolPeaks,
  type VmMove,
} from '../systems/index.js';

/** Options of {@link MovePlanner}. */
export interface MovePlannerOptions {
  readonly mechanisms: Mechanisms;
  readonly peaks: PoolPeaks;
  /** Lists the pools whose VMs are switched off until they are moved to another pool. */
  readonly listStandbyPools: () => readonly string[];
}

/** State of the fleet in one pass. */
export type FleetState = Pick<
  PlanMovesInput,
  'demands' | 'vms' | 'heldVms' | 'usableHeldVms' | 'arrivingByPool' | 'expectedPeaks' | 'nowMs'
>;

/** Plans which VMs move between pools, with the mechanisms that are enabled. */
export class MovePlanner {
  private readonly options: MovePlannerOptions;

  /**
   * Creates a planner.
   * @param options - Mechanisms and peaks of the pools.
   */
  constructor(options: MovePlannerOptions) {
    this.options = options;
  }

  /**
   * Plans moves.
   * @param state - The fleet as listed, and the demand of its pools.
   * @returns The moves.
   */
  plan(state: FleetState): readonly VmMove[] {
    const { mechanisms, peaks, listStandbyPools } = this.options;
    if (!mechanisms.has('vm-moves')) return [];
    return planMoves({
      ...state,
      standbyPools: new Set(listStandbyPools()),
      releasesReserves: mechanisms.has('kept-yields-in-shortage'),
      ...(mechanisms.has('kept-by-peak') ? { reserveCounts: peaks.getReserveCounts() } : {}),
    });
  }
}
