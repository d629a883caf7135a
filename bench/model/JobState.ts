import type { TraceJob } from '../traces/index.js';
import type { JobEnd } from './JobOutcome.js';

/** A job on its way to its final answer. */
export class JobState {
  readonly job: TraceJob;

  /** Time after which the caller no longer waits. */
  readonly deadlineMs: number;

  private attemptCount = 0;

  private latestAttemptId: string | undefined;

  private failedVms: readonly string[] = [];

  private firstStartMs: number | undefined;

  private leftMs: number;

  private finalAnswer: { readonly end: JobEnd; readonly atMs: number } | undefined;

  /**
   * Begins with a job that has just arrived.
   * @param job - The job.
   */
  constructor(job: TraceJob) {
    this.job = job;
    this.deadlineMs = job.atMs + job.patienceMs;
    this.leftMs = job.runMs;
  }

  /** The queued or running attempt. */
  get attemptId(): string | undefined {
    return this.latestAttemptId;
  }

  /** VMs that failed the job. */
  get excludedVms(): readonly string[] {
    return this.failedVms;
  }

  /** Time of the first start. */
  get startedAtMs(): number | undefined {
    return this.firstStartMs;
  }

  /** Run time still ahead, after what a checkpoint has kept. */
  get remainingMs(): number {
    return this.leftMs;
  }

  /** The final answer and its time; undefined while the caller waits. */
  get result(): { readonly end: JobEnd; readonly atMs: number } | undefined {
    return this.finalAnswer;
  }

  /**
   * Begins another attempt.
   * @returns Its id.
   */
  beginAttempt(): string {
    this.attemptCount += 1;
    this.latestAttemptId = `${this.job.id}/${this.attemptCount}`;
    return this.latestAttemptId;
  }

  /**
   * Notes a start.
   * @param atMs - Its time; only the first one is kept.
   */
  noteStart(atMs: number): void {
    this.firstStartMs ??= atMs;
  }

  /**
   * Notes a VM that failed the job.
   * @param vm - The VM.
   */
  exclude(vm: string): void {
    this.failedVms = [...this.failedVms, vm];
  }

  /**
   * Keeps what a checkpoint has saved.
   * @param remainingMs - Run time still ahead.
   */
  keepProgress(remainingMs: number): void {
    this.leftMs = remainingMs;
  }

  /**
   * Gives the final answer.
   * @param end - The answer.
   * @param atMs - Its time.
   */
  finish(end: JobEnd, atMs: number): void {
    this.finalAnswer = { end, atMs };
  }
}
