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
  /** Whether to open a new connection, whose state no middlebox can have dropped. */
  readonly freshConnection: boolean;
  /** Wall-clock time at which the target's lease for the task ends. */
  readonly leaseDeadlineMs: number;
  /** Time without data after which the target counts as silent, in milliseconds. */
  readonly silenceLimitMs: number;
  readonly signal?: AbortSignal;
}

/** Result of an attempt on a target: its failure, or the beginning of the answer. */
export type TaskResult =
  | {
      /** The answer has begun. The body emits an error if the answer is truncated. */
      readonly type: 'answering';
      readonly httpStatus: number;
      readonly contentType: string;
      readonly body: Readable;
    }
  | {
      /** The target reported that it did not start the task, or no byte was sent to it. */
      readonly type: 'not-started';
      readonly reason: string;
    }
  | {
      /** The task may or may not have run. */
      readonly type: 'unknown';
      readonly reason: 'silent' | 'connection-lost' | 'cancelled';
    };

/** Status that a target reports. The usage figures lag behind. */
export interface TargetStatus {
  readonly bootId: string;
  readonly draining: boolean;
  readonly runningTaskIds: readonly string[];
  readonly usedCoreCount: number;
  readonly usedMemoryMb: number;
}

/** Runs and controls tasks on target VMs. */
export interface TargetPort {
  /**
   * Starts a task and waits for its answer to begin.
   * @param target - The target.
   * @param task - The task to run.
   * @returns The result of the attempt; the promise never rejects.
   */
  run(target: TargetAddress, task: TaskRequest): Promise<TaskResult>;

  /**
   * Requests the status of a target.
   * @param target - The target.
   * @returns The status, or undefined if the target does not answer in time.
   */
  getStatus(target: TargetAddress): Promise<TargetStatus | undefined>;

  /**
   * Checkpoints, throttles or stops a task.
   * @param target - The target that runs the task.
   * @param taskId - Id of the task.
   * @param action - The action.
   * @returns Whether the target confirmed the action.
   */
  control(
    target: TargetAddress,
    taskId: string,
    action: 'checkpoint' | 'throttle' | 'unthrottle' | 'stop',
  ): Promise<boolean>;

  /**
   * Renews the lease of a running task.
   * @param target - The target that runs the task.
   * @param taskId - Id of the task.
   * @param leaseDeadlineMs - New wall-clock deadline, in milliseconds.
   * @returns Whether the target confirmed the renewal.
   */
  renewLease(target: TargetAddress, taskId: string, leaseDeadlineMs: number): Promise<boolean>;
}
