import type { JobAnswer, JobState } from '../callers/index.js';
import { throwError } from '../errors/index.js';
import { Table } from '../tables/index.js';
import type { Clock } from '../utils/index.js';

/** A submitted job, stored at the instance that runs it. */
export interface StoredJob {
  readonly state: JobState;
  readonly abort: AbortController;
  /** Monotonic time at which the finished job is removed; undefined until it has finished. */
  readonly expiresAtMs: number | undefined;
}

/** Options of {@link JobStore}. */
export interface JobStoreOptions {
  readonly clock: Clock;
  /** Maximum number of stored jobs, finished or not. */
  readonly maxJobCount: number;
}

const FINISHED_JOB_RETENTION_MS = 600_000;
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

async function readBody(body: AsyncIterable<Buffer>): Promise<Buffer> {
  const iterator = body[Symbol.asyncIterator]();
  const readRemaining = async (chunks: readonly Buffer[], sizeBytes: number): Promise<Buffer> => {
    const { done, value } = await iterator.next();
    if (done) return Buffer.concat(chunks);
    const nextSizeBytes = sizeBytes + value.length;
    if (nextSizeBytes > MAX_ANSWER_BYTES) {
      return throwError('answer-cut', 'The answer is too large to store.');
    }
    return readRemaining([...chunks, value], nextSizeBytes);
  };
  return readRemaining([], 0);
}

async function readFinalState(answer: JobAnswer): Promise<Partial<JobState>> {
  if (answer.type === 'failed') {
    const { kind, message } = answer.error;
    return { outcome: answer.outcome, errorKind: kind, message };
  }
  const { httpStatus, contentType } = answer;
  try {
    const bodyBase64 = (await readBody(answer.body)).toString('base64');
    return { outcome: 'run', httpStatus, contentType, bodyBase64 };
  } catch (thrown) {
    return { outcome: 'unknown', errorKind: 'answer-cut', message: String(thrown) };
  }
}

/** Stores jobs that were submitted without waiting, and their answers until they expire. */
export class JobStore {
  private readonly options: JobStoreOptions;

  private readonly jobs = new Table<string, StoredJob>({
    entity: 'job',
    missingKind: 'unknown-job',
    keyOf: (job) => job.state.jobId,
  });

  /**
   * Creates an empty store.
   * @param options - Clock and maximum number of jobs.
   */
  constructor(options: JobStoreOptions) {
    this.options = options;
  }

  /**
   * Gets a job.
   * @param jobId - Id of the job.
   * @returns The stored job.
   * @throws RattanliftError Of kind `unknown-job` if the job is not stored.
   */
  getOrThrow(jobId: string): StoredJob {
    return this.jobs.getOrThrow(jobId);
  }

  /** Number of jobs that have not finished. */
  get unfinishedCount(): number {
    return this.jobs.list().filter((job) => job.expiresAtMs === undefined).length;
  }

  /**
   * Adds a job that is about to run.
   * @param state - Its initial state.
   * @returns The stored job.
   * @throws RattanliftError Of kind `queue-full` if the store is full.
   */
  add(state: JobState): StoredJob {
    if (this.jobs.size >= this.options.maxJobCount) {
      return throwError('queue-full', 'This instance already stores its maximum number of jobs.');
    }
    const job: StoredJob = { state, abort: new AbortController(), expiresAtMs: undefined };
    this.jobs.put(job);
    return job;
  }

  /**
   * Stores the answer of a job.
   * @param jobId - Id of the job.
   * @param answer - Its answer; the body is read to its end.
   */
  async finish(jobId: string, answer: JobAnswer): Promise<void> {
    const job = this.jobs.getOrThrow(jobId);
    const finalState = await readFinalState(answer);
    const expiresAtMs = this.options.clock.monotonicMs() + FINISHED_JOB_RETENTION_MS;
    this.jobs.put({
      ...job,
      expiresAtMs,
      state: { ...job.state, phase: 'finished', ...finalState },
    });
  }

  /** Removes finished jobs whose retention time is over. */
  tick(): void {
    const nowMs = this.options.clock.monotonicMs();
    this.jobs
      .list()
      .filter((job) => job.expiresAtMs !== undefined && job.expiresAtMs <= nowMs)
      .forEach((job) => this.jobs.remove(job.state.jobId));
  }
}
