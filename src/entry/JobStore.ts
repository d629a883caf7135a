import type { JobAnswer, JobState } from '../callers/index.js';
import { throwError } from '../errors/index.js';
import { Table } from '../tables/index.js';
import type { Clock } from '../utils/index.js';

/** A submitted job at the instance that runs it. */
export interface StoredJob {
  readonly state: JobState;
  readonly abort: AbortController;
  /** Monotonic time after which a finished job is forgotten; undefined until it has finished. */
  readonly forgetAtMs: number | undefined;
}

/** Options of {@link JobStore}. */
export interface JobStoreOptions {
  readonly clock: Clock;
  /** Most jobs that are kept, finished or not. */
  readonly maxJobCount: number;
}

const KEPT_AFTER_FINISH_MS = 600_000;
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

async function readBody(body: AsyncIterable<Buffer>): Promise<Buffer> {
  const iterator = body[Symbol.asyncIterator]();
  const readOn = async (chunks: readonly Buffer[], sizeBytes: number): Promise<Buffer> => {
    const { done, value } = await iterator.next();
    if (done) return Buffer.concat(chunks);
    const nextSizeBytes = sizeBytes + value.length;
    if (nextSizeBytes > MAX_ANSWER_BYTES) {
      return throwError('answer-cut', 'The answer is too large to be kept.');
    }
    return readOn([...chunks, value], nextSizeBytes);
  };
  return readOn([], 0);
}

async function readEnd(answer: JobAnswer): Promise<Partial<JobState>> {
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

/** Jobs that were submitted without waiting, with their answers until they are forgotten. */
export class JobStore {
  private readonly options: JobStoreOptions;

  private readonly jobs = new Table<string, StoredJob>({
    entity: 'job',
    missingKind: 'unknown-job',
    keyOf: (job) => job.state.jobId,
  });

  /**
   * Creates an empty store.
   * @param options - Clock and bound.
   */
  constructor(options: JobStoreOptions) {
    this.options = options;
  }

  /**
   * Gets the state of a job.
   * @param jobId - The job.
   * @returns Its state.
   * @throws RattanliftError Of kind `unknown-job`.
   */
  getOrThrow(jobId: string): StoredJob {
    return this.jobs.getOrThrow(jobId);
  }

  /** Count of jobs that have not finished. */
  get unfinishedCount(): number {
    return this.jobs.list().filter((job) => job.forgetAtMs === undefined).length;
  }

  /**
   * Adds a job that is about to run.
   * @param state - Its first state.
   * @returns The stored job.
   * @throws RattanliftError Of kind `queue-full`.
   */
  add(state: JobState): StoredJob {
    if (this.jobs.size >= this.options.maxJobCount) {
      return throwError('queue-full', 'This instance keeps as many jobs as it can.');
    }
    const job: StoredJob = { state, abort: new AbortController(), forgetAtMs: undefined };
    this.jobs.put(job);
    return job;
  }

  /**
   * Takes in the answer of a job.
   * @param jobId - The job.
   * @param answer - Its answer; the body is read to its end.
   */
  async finish(jobId: string, answer: JobAnswer): Promise<void> {
    const job = this.jobs.getOrThrow(jobId);
    const end = await readEnd(answer);
    const forgetAtMs = this.options.clock.monotonicMs() + KEPT_AFTER_FINISH_MS;
    this.jobs.put({ ...job, forgetAtMs, state: { ...job.state, phase: 'finished', ...end } });
  }

  /** Forgets finished jobs whose time is over. */
  tick(): void {
    const nowMs = this.options.clock.monotonicMs();
    this.jobs
      .list()
      .filter((job) => job.forgetAtMs !== undefined && job.forgetAtMs <= nowMs)
      .forEach((job) => this.jobs.remove(job.state.jobId));
  }
}
