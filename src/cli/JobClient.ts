import { CALLER_HEADERS, type JobState } from '../callers/index.js';
import type { DaemonTransport } from '../operators/index.js';

/** Options of {@link JobClient}. */
export interface JobClientOptions {
  readonly transport: DaemonTransport;
}

/** A job to submit; what is left out comes from the pool's settings. */
export interface JobRequest {
  /** Pool as `team/pool`. */
  readonly pool: string;
  readonly requestId: string;
  readonly team: string | undefined;
  readonly jobKind: string;
  readonly urgency: string | undefined;
  readonly isNonIdempotent: boolean;
  /** Time after which the answer is of no use, in milliseconds since the Unix epoch. */
  readonly deadlineAtMs: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** Drops the headers that have no value. */
function toHeaders(
  values: Readonly<Record<string, string | undefined>>,
): Readonly<Record<string, string>> {
  const present = Object.entries(values).filter(
    (entry): entry is [string, string] => entry[1] !== undefined,
  );
  return Object.fromEntries(present);
}

/** The callers' interface of a list of daemons, as the command line uses it. */
export class JobClient {
  private readonly transport: DaemonTransport;

  /**
   * Creates the client.
   * @param options - Transport to the daemons.
   */
  constructor(options: JobClientOptions) {
    this.transport = options.transport;
  }

  /**
   * Submits a job without waiting for its answer; never sent twice when the answer was lost.
   * @param job - The job.
   * @returns Its state.
   */
  async submit(job: JobRequest): Promise<JobState> {
    const path = job.pool.split('/').map(encodeURIComponent).join('/');
    return (await this.transport.send({
      method: 'POST',
      path: `/v1/pools/${path}/jobs?wait=false`,
      headers: toHeaders({
        'content-type': job.contentType,
        [CALLER_HEADERS.requestId]: job.requestId,
        [CALLER_HEADERS.team]: job.team,
        [CALLER_HEADERS.kind]: job.jobKind,
        [CALLER_HEADERS.urgency]: job.urgency,
        [CALLER_HEADERS.deadline]: String(job.deadlineAtMs),
        [CALLER_HEADERS.nonIdempotent]: job.isNonIdempotent ? 'true' : undefined,
      }),
      body: job.body,
      isRepeatable: false,
    })) as JobState;
  }

  /**
   * Gets the state of a submitted job.
   * @param jobId - Id that the submission gave.
   * @returns Its state.
   */
  async getJob(jobId: string): Promise<JobState> {
    const path = `/v1/jobs/${encodeURIComponent(jobId)}`;
    return (await this.transport.send({ method: 'GET', path, isRepeatable: true })) as JobState;
  }

  /**
   * Cancels a submitted job; cancelled twice, it is cancelled once.
   * @param jobId - Id that the submission gave.
   * @returns Its state after the cancellation.
   */
  async cancelJob(jobId: string): Promise<JobState> {
    const path = `/v1/jobs/${encodeURIComponent(jobId)}`;
    return (await this.transport.send({ method: 'DELETE', path, isRepeatable: true })) as JobState;
  }
}
