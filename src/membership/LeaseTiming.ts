/** Lengths of time that every instance has to agree on; they are part of the lease's safety. */
export interface LeaseTiming {
  /** How long an accepted join or renewal lasts, from before it was sent. */
  readonly leaseMs: number;
  /** How often a lease is renewed. */
  readonly renewEveryMs: number;
  /** Taken off the holder's side and added to the contender's, against clocks that run apart. */
  readonly marginMs: number;
  /** Step by which contenders of lower rank wait longer, so that one of them writes. */
  readonly contenderStepMs: number;
}

/** Timing of production. */
export const DEFAULT_LEASE_TIMING: LeaseTiming = {
  leaseMs: 5_000,
  renewEveryMs: 1_250,
  marginMs: 250,
  contenderStepMs: 400,
};
