/** Resources that a task occupies, or that a target has. */
export interface Resources {
  readonly cpuMillicores: number;
  readonly memoryMb: number;
  readonly gpuCount: number;
}

/** How often and when the steps of a job run. */
export interface Schedule {
  readonly occurrenceCount: number;
  /** Due time of occurrence 0, in milliseconds since the Unix epoch. */
  readonly firstDueAtMs: number;
  readonly intervalMs: number;
}

/** A step of a job: a number of alike tasks. */
export interface StepSpec {
  readonly taskCount: number;
  readonly demand: Resources;
  /** The caller's guess of a task's run time; often far off. */
  readonly estimatedRunMs: number;
  /** Indexes of earlier steps whose tasks must all be done first. */
  readonly afterSteps: readonly number[];
  readonly isCheckpointing: boolean;
  /** Whether the tasks work only together and are started and ended as one. */
  readonly isGang: boolean;
  /** Whether the tasks of a gang slow each other down when spread over racks. */
  readonly wantsSameRack: boolean;
  readonly requiredLabel?: string;
  readonly dataRack?: string;
  /** Most tasks of the step on one target; absent means no limit. */
  readonly maxTasksPerTarget?: number;
  /** Whether copies of a task may run at the same time. */
  readonly mayRunCopies: boolean;
  /** Whether the tasks run until the job is cancelled and are restarted however they end. */
  readonly isLongRunning: boolean;
  /** Name of what the tasks run; tasks of one image behave alike. */
  readonly image?: string;
  /** Bound of the tail latency that a long-running task has to keep, in milliseconds. */
  readonly latencyTargetMs?: number;
  /** Whether the tasks take only the processor time that others leave. */
  readonly isBestEffort: boolean;
  /** How many tasks the system itself may make unavailable at the same time. */
  readonly maxUnavailableCount?: number;
}

/** What a queue asks for its jobs, as it stood when the job was accepted. */
export interface QueueTerms {
  readonly queue: string;
  readonly pool: string;
  /** 0 is the most urgent and may preempt others. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** The objective is this many times the longest chain of work, and a fixed time more. */
  readonly stretch: number;
  readonly targetDurationMs: number;
  /** Whether a service has to be asked which targets may run a step. */
  readonly needsAdvice?: boolean;
}

/** A job as its caller submitted it. */
export interface DurableJobSpec {
  readonly jobId: string;
  readonly terms: QueueTerms;
  /** What the targets are told to run; opaque here. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly schedule?: Schedule;
  /** When the job reached its entry, in milliseconds since the Unix epoch. */
  readonly submittedAtMs: number;
}

/** State of a job as callers see it. */
export type DurableJobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';
