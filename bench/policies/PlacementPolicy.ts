import type { PlacementDecision, PlaceQueuedJobsOptions } from '../../src/systems/index.js';
import type { PoolTables } from '../../src/tables/index.js';

/** A way to place a pool's queue. */
export interface PlacementPolicy {
  readonly name: string;
  /** Whether attempts that ended are reported to the learning system. */
  readonly learns: boolean;
  /**
   * Decides about the waiting requests.
   * @param tables - State of the pool.
   * @param options - Time and source of randomness.
   * @returns Decisions; requests without one stay queued.
   */
  place(tables: PoolTables, options: PlaceQueuedJobsOptions): readonly PlacementDecision[];
}
