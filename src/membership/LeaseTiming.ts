/** Durations that must be the same on every instance, because lease safety depends on them. */
export interface LeaseTiming {
  /** How long an accepted join or renewal is valid, counted from before it was sent. */
  readonly leaseMs: number;
  /** How often a lease is renewed. */
  readonly renewEveryMs: number;
  /** Subtracted from the holder's lease and added to the contenders' wait, against clock drift. */
  readonly marginMs: number;
  /** Additional wait of a contender per rank, so that only one contender writes. */
  readonly contenderStepMs: number;
}

/** Lease timing used in production. */
export const DEFAULT_LEASE_TIMING: LeaseTiming = {
  leaseMs: 5_000,
  renewEveryMs: 1_250,
  marginMs: 250,
  contenderStepMs: 400,
};
