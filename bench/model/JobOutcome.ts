/** Final answer of a job; `open` while its caller still waits when the trace ends. */
export type JobEnd = 'run' | 'failed' | 'refused' | 'cancelled' | 'expired' | 'open';

/** A job's history. */
export interface JobResult {
  readonly id: string;
  readonly team: string;
  readonly kind: string;
  readonly urgency: 'urgent' | 'normal' | 'overnight';
  readonly arrivedAtMs: number;
  /** Time of its first start; undefined where it never started. */
  readonly startedAtMs: number | undefined;
  readonly end: JobEnd;
  /** Time of its final answer, or the end of the trace. */
  readonly endedAtMs: number;
}

/** What happened in one run of a trace. */
export interface JobOutcome {
  readonly results: readonly JobResult[];
  /** Promises that were broken, in words. */
  readonly brokenPromises: readonly string[];
  /** Starts on a VM whose memory did not suffice for what it then carried. */
  readonly overfilledStartCount: number;
  /** Starts on a VM that fails all that it starts. */
  readonly badVmStartCount: number;
  /** Work of runs that ended well, were checkpointed or still run, in milliseconds. */
  readonly usefulSlotMs: number;
  /** Slot time of the VMs that were there, in milliseconds. */
  readonly availableSlotMs: number;
  readonly endMs: number;
}
