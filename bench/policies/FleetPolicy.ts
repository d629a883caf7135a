import type {
  CapacityDecision,
  PlanCapacityOptions,
  PlanWaveStepsOptions,
  WaveDecision,
} from '../../src/systems/index.js';
import type { PoolTables } from '../../src/tables/index.js';

/** A way to run waves and to give VMs to pools. */
export interface FleetPolicy {
  readonly name: string;
  /** Weight of a short roll-out that replaces the one in the settings, if any. */
  readonly rollOutWeight?: number;
  /** Plans the next wave steps of a pool. */
  planSteps(tables: PoolTables, options: PlanWaveStepsOptions): readonly WaveDecision[];
  /** Plans a pool's adoptions and releases. */
  planMoves(tables: PoolTables, options: PlanCapacityOptions): readonly CapacityDecision[];
}
