/** A load peak of a pool, as far as it has been observed. */
export interface SeenPeak {
  readonly pool: string;
  /** Monotonic time of the beginning, in milliseconds; of the first observation if not seen. */
  readonly beganAtMs: number;
  /** Whether the beginning was observed; a new home may find a peak in progress. */
  readonly isBeginSeen: boolean;
  /** Most VMs that the pool has used in the peak. */
  readonly vmCount: number;
  /** Most VMs that the pool was known to use before the peak. */
  readonly formerVmCount: number;
}

/** A change that a detector of peaks has found. */
export type PeakChange =
  | { readonly type: 'began'; readonly peak: SeenPeak }
  | { readonly type: 'ended'; readonly peak: SeenPeak; readonly endedAtMs: number };
