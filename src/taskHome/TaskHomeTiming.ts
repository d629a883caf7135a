/** Lengths of time that a home of tasks works with; the platform's bounds decide them. */
export interface TaskHomeTiming {
  /** Lease that each renewal asks of a target, in milliseconds. */
  readonly targetLeaseMs: number;
  /** Longest time that a target holds a renewal back for an end, in milliseconds. */
  readonly targetWaitMs: number;
  /** How long the state of a finished job can be read, in milliseconds. */
  readonly keepFinishedMs: number;
}
