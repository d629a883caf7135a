import {
  countRetainedVms,
  type Mechanisms,
  planMoves,
  type PlanMovesInput,
  planPowerOffs,
  type PoolDemand,
  type PoolPeaks,
  RecentPeak,
  type VmMove,
} from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { FleetVm } from '../vms/index.js';

/** Options of {@link MovePlanner}. */
export interface MovePlannerOptions {
  readonly clock: Clock;
  readonly mechanisms: Mechanisms;
  readonly peaks: PoolPeaks;
  /** Lists the pools whose VMs are switched off until they are moved to another pool. */
  readonly listStandbyPools: () => readonly string[];
}

/** State of the fleet in one pass. */
export interface FleetState {
  readonly demands: readonly PoolDemand[];
  readonly vms: readonly FleetVm[];
  /** VMs that must not be moved. */
  readonly heldVms: ReadonlySet<string>;
  /** Held VMs that stay in service in their pool. */
  readonly usableHeldVms: ReadonlySet<string>;
  readonly arrivingByPool: ReadonlyMap<string, number>;
}

/**
 * Time for which a need of the fleet keeps VMs powered on, in milliseconds: a VM that goes off and
 * comes back costs as much as it does idle in 2.3 s, and the need of a rush varies meanwhile.
 */
const NEED_WINDOW_MS = 5_000;

/** Plans which VMs move between pools, and which are powered off. */
export class MovePlanner {
  private readonly options: MovePlannerOptions;

  private readonly needPeak: RecentPeak;

  /**
   * Creates a planner that has seen no need.
   * @param options - Clock, mechanisms and peaks of the pools.
   */
  constructor(options: MovePlannerOptions) {
    this.options = options;
    this.needPeak = new RecentPeak(options.clock, NEED_WINDOW_MS);
  }

  /**
   * Plans moves.
   * @param state - The fleet as listed, and the demand of its pools.
   * @returns The moves.
   */
  plan(state: FleetState): readonly VmMove[] {
    const { mechanisms, peaks, listStandbyPools } = this.options;
    if (!mechanisms.has('vm-moves')) return [];
    const standbyPools = new Set(listStandbyPools());
    const isPoweringOff = mechanisms.has('idle-vms-off');
    const input: PlanMovesInput = {
      ...state,
      standbyPools,
      releasesReserves: mechanisms.has('kept-yields-in-shortage'),
      takesIdleBeforeStandby: isPoweringOff,
      ...(mechanisms.has('kept-by-peak') ? { reserveCounts: peaks.getReserveCounts() } : {}),
      ...(mechanisms.has('forecast-by-peak') ? { peakCounts: peaks.getCounts() } : {}),
    };
    const moves = planMoves(input);
    return isPoweringOff ? [...moves, ...this.planPowerOffs(input, moves)] : moves;
  }

  private planPowerOffs(input: PlanMovesInput, moves: readonly VmMove[]): readonly VmMove[] {
    const retainedCounts = countRetainedVms(input);
    const retainedCount = [...retainedCounts.values()].reduce((sum, count) => sum + count, 0);
    return planPowerOffs({
      ...input,
      heldVms: new Set([...input.heldVms, ...moves.map(({ vm }) => vm)]),
      retainedCounts,
      neededVmCount: this.needPeak.record(retainedCount),
    });
  }
}
