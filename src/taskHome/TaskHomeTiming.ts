/** Durations used by the home of a partition; the platform's limits determine them. */
export interface TaskHomeTiming {
  /** Lease that each renewal requests from a target, in milliseconds. */
  readonly targetLeaseMs: number;
  /** Longest time for which a target delays its answer to wait for an end, in milliseconds. */
  readonly targetWaitMs: number;
  /** How long the state of a finished job stays readable, in milliseconds. */
  readonly keepFinishedMs: number;
}
