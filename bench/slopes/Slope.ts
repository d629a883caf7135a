/** What one act of a role costs at one size. */
export interface SlopePoint {
  readonly size: number;
  /** Processor time of one act, in microseconds. */
  readonly cpuUs: number;
  /** Heap that the role's state takes, in kilobytes. */
  readonly heapKb: number;
  /** Bytes that one act sends or writes; 0 where it sends nothing. */
  readonly byteCount: number;
}

/** A role's cost over the sizes of one dimension. */
export interface Slope {
  readonly role: string;
  /** What grows, for example `VMs of the pool`. */
  readonly dimension: string;
  readonly points: readonly SlopePoint[];
}
