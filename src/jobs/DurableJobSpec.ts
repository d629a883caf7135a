/** Resources that a task requires or that a target provides. */
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

/** A step of a job: a number of identical tasks. */
export interface StepSpec {
  readonly taskCount: number;
  readonly demand: Resources;
  /** The caller's estimate of a task's run time, which is often far off. */
  readonly estimatedRunMs: number;
  /** Indexes of the earlier steps whose tasks must all be done before this step starts. */
  readonly afterSteps: readonly number[];
  readonly isCheckpointing: boolean;
  /** Whether the tasks work only together, so that they are started and ended as a unit. */
  readonly isGang: boolean;
  /** Whether the tasks of a gang slow each other down when spread over racks. */
  readonly wantsSameRack: boolean;
  readonly requiredLabel?: string;
  readonly dataRack?: string;
  /** Maximum number of the step's tasks on one target; no limit if absent. */
  readonly maxTasksPerTarget?: number;
  /** Whether several copies of a task may run at the same time. */
  readonly mayRunCopies: boolean;
  /** Whether the tasks run until the job is cancelled and are restarted however they end. */
  readonly isLongRunning: boolean;
  /** Name of the image that the tasks run; tasks with the same image behave alike. */
  readonly image?: string;
  /** Upper bound of a long-running task's tail latency, in milliseconds. */
  readonly latencyTargetMs?: number;
  /** Whether the tasks use only the CPU time that other tasks leave idle. */
  readonly isBestEffort: boolean;
  /** Maximum number of tasks that the system itself may make unavailable at the same time. */
  readonly maxUnavailableCount?: number;
}

/** The queue's settings that apply to a job, as of the time when the job was accepted. */
export interface QueueTerms {
  readonly queue: string;
  readonly pool: string;
  /** 0 is the highest priority, which may preempt other jobs. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** The objective is this factor times the longest chain of work, plus a fixed time. */
  readonly stretch: number;
  readonly targetDurationMs: number;
  /** Whether a service has to be asked which targets may run a step. */
  readonly needsAdvice?: boolean;
  /** Host and path prefix under which callers reach the queue; absent if it has only its name. */
  readonly address?: string;
  /** Version of the configuration with these terms; absent from instances of earlier releases. */
  readonly configurationVersion?: number;
}

/** A queue as a request names it: what identifies it, and where one configuration sends it. */
export type QueueReference = Pick<
  QueueTerms,
  'queue' | 'pool' | 'address' | 'configurationVersion'
>;

/**
 * Gets what identifies a queue in requests between instances.
 * @param terms - The queue, with or without the other terms.
 * @returns The reference alone.
 */
export function getQueueReference({
  queue,
  pool,
  address,
  configurationVersion,
}: QueueReference): QueueReference {
  return { queue, pool, address, configurationVersion };
}

/** A job as its caller submitted it. */
export interface DurableJobSpec {
  readonly jobId: string;
  readonly terms: QueueTerms;
  /** Organisation that the job belongs to; absent if its queue takes calls without a key. */
  readonly organisation?: string;
  /** Opaque payload that is passed to the targets and defines what they run. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly schedule?: Schedule;
  /** When the job arrived at its entry, in milliseconds since the Unix epoch. */
  readonly submittedAtMs: number;
}

/** State of a job as reported to callers. */
export type DurableJobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';
