/** A load peak that a pool is expected to have, as learned from earlier peaks of the pools. */
export interface ExpectedPeak {
  readonly pool: string;
  /** Earliest monotonic time at which the peak may begin, in milliseconds. */
  readonly startsAtMs: number;
  /** Monotonic time by which the peak is expected to be over, in milliseconds. */
  readonly endsAtMs: number;
  /** Number of VMs that the pool is expected to use at the height of the peak. */
  readonly vmCount: number;
  /** Probability with which the pool has this peak at this time, from 0 to 1. */
  readonly confidence: number;
}
