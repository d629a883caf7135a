import type { Readable } from 'node:stream';
import type { Outcome, RattanliftError } from '../errors/index.js';
import type { Urgency } from '../settings/index.js';

/** A caller's job, checked for form; what the caller left out comes from the pool's settings. */
export interface JobSubmission {
  /** Id that the caller gave, or one made here for an idempotent job. */
  readonly requestId: string;
  /** Pool as `team/pool`. */
  readonly pool: string;
  /** Team on whose quota the job runs. */
  readonly team: string;
  readonly jobKind: string;
  readonly idempotent: boolean | undefined;
  /** First header that a non-idempotent job needs and the caller left out. */
  readonly missingHeader?: string;
  /** Whether the caller says that it has sent the request before. */
  readonly isRepeat: boolean;
  readonly urgency: Urgency | undefined;
  readonly coreCount: number | undefined;
  readonly memoryMb: number | undefined;
  /** Wall-clock time after which the caller has no use for the answer. */
  readonly deadlineAtMs: number;
  readonly contentType: string;
  readonly body: Buffer;
  /** Aborts when the caller goes away or cancels. */
  readonly signal: AbortSignal;
}

/** Final answer to a job. */
export type JobAnswer =
  | {
      readonly type: 'answered';
      readonly requestId: string;
      readonly vm: string;
      readonly httpStatus: number;
      readonly contentType: string;
      /** The target's answer; it errors when the answer ends early. */
      readonly body: Readable;
    }
  | {
      readonly type: 'failed';
      readonly requestId: string;
      readonly outcome: Outcome;
      readonly error: RattanliftError;
    };

/** State of a job that was submitted without waiting for it. */
export interface JobState {
  readonly jobId: string;
  readonly requestId: string;
  readonly pool: string;
  readonly phase: 'waiting' | 'running' | 'finished';
  /** Present once the job has finished. */
  readonly outcome?: Outcome;
  readonly httpStatus?: number;
  readonly contentType?: string;
  /** The target's answer in base64, once the job has finished. */
  readonly bodyBase64?: string;
  readonly errorKind?: string;
  readonly message?: string;
}

/** Jobs, as the HTTP front sees them. */
export interface EntryPort {
  /**
   * Runs a job and waits for its answer to begin.
   * @param submission - The job.
   * @returns Its final answer; it never rejects.
   */
  run(submission: JobSubmission): Promise<JobAnswer>;

  /**
   * Starts a job whose answer is fetched later.
   * @param submission - The job; its signal is not used.
   * @returns The job's state.
   * @throws RattanliftError Where the job is refused at once.
   */
  submit(submission: JobSubmission): Promise<JobState>;

  /**
   * Gets the state of a submitted job from the instance that has it.
   * @param jobId - Id that `submit` gave.
   * @returns Its state.
   * @throws RattanliftError Of kind `unknown-job` or `peer-unavailable`.
   */
  getJob(jobId: string): Promise<JobState>;

  /**
   * Cancels a submitted job.
   * @param jobId - Id that `submit` gave.
   * @returns Its state after the cancellation.
   * @throws RattanliftError Of kind `unknown-job` or `peer-unavailable`.
   */
  cancelJob(jobId: string): Promise<JobState>;
}
