import type { Readable } from 'node:stream';

/** Address of a target: the HTTP port of a VM. */
export interface TargetAddress {
  readonly vm: string;
  readonly host: string;
  readonly port: number;
}

/** A task to start on a target. */
export interface TaskRequest {
  /** Id of this attempt, unique over all attempts of all requests. */
  readonly taskId: string;
  readonly requestId: string;
  readonly jobKind: string;
  readonly coreCount: number;
  readonly memoryMb: number;
  readonly contentType: string;
  readonly body: Buffer;
  /** Whether to open a connection of its own, which no middlebox can have forgotten. */
  readonly freshConnection: boolean;
  /** Wall-clock time at which the target's lease for the task ends. */
  readonly leaseDeadlineMs: number;
  /** Longest silence before the target counts as silent, in milliseconds. */
  readonly silenceLimitMs: number;
  readonly signal?: AbortSignal;
}

/** How an attempt on a target ended, or began to answer. */
export type TaskResult =
  | {
      /** The answer has begun; the body errors when it ends early. */
      readonly type: 'answering';
      readonly httpStatus: number;
      readonly contentType: string;
      readonly body: Readable;
    }
  | {
      /** The target said that it did not start the task, or no byte was sent to it. */
      readonly type: 'not-started';
      readonly reason: string;
    }
  | {
      /** The task may or may not have run. */
      readonly type: 'unknown';
      readonly reason: 'silent' | 'connection-lost' | 'cancelled';
    };

/** What a target says of itself; usage lags. */
export interface TargetStatus {
  readonly bootId: string;
  readonly draining: boolean;
  readonly runningTaskIds: readonly string[];
  readonly usedCoreCount: number;
  readonly usedMemoryMb: number;
}

/** Tasks on target VMs. */
export interface TargetPort {
  /**
   * Starts a task and waits for its answer to begin.
   * @param target - Where to.
   * @param task - What to run.
   * @returns How the attempt ended or began to answer; it never rejects.
   */
  run(target: TargetAddress, task: TaskRequest): Promise<TaskResult>;

  /**
   * Asks a target what it runs.
   * @param target - Which one.
   * @returns Its state, or undefined where it does not answer in time.
   */
  getStatus(target: TargetAddress): Promise<TargetStatus | undefined>;

  /**
   * Checkpoints, throttles or stops a task.
   * @param target - Where it runs.
   * @param taskId - Which task.
   * @param action - What to do with it.
   * @returns Whether the target confirmed it.
   */
  control(
    target: TargetAddress,
    taskId: string,
    action: 'checkpoint' | 'throttle' | 'unthrottle' | 'stop',
  ): Promise<boolean>;

  /**
   * Renews the lease of a running task.
   * @param target - Where it runs.
   * @param taskId - Which task.
   * @param leaseDeadlineMs - New wall-clock deadline.
   * @returns Whether the target confirmed it.
   */
  renewLease(target: TargetAddress, taskId: string, leaseDeadlineMs: number): Promise<boolean>;
}
