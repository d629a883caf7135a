import type { DurableJobView, OrganisationView } from '../callers/index.js';
import type { DaemonTransport } from '../operators/index.js';

/** A queue with the jobs that have not begun. */
export interface QueueView {
  readonly queue: string;
  readonly pendingJobCount: number;
}

/** Options of {@link QueueClient}. */
export interface QueueClientOptions {
  readonly transport: DaemonTransport;
  /** Key of the caller's organisation, if the queues need one. */
  readonly key?: string;
}

function toJobPath(queue: string, jobId: string): string {
  return `/v1/queues/${encodeURIComponent(queue)}/jobs/${encodeURIComponent(jobId)}`;
}

/** The interface of durable jobs of a list of daemons, as the command line uses it. */
export class QueueClient {
  private readonly transport: DaemonTransport;

  private readonly keyHeaders: Readonly<Record<string, string>>;

  /**
   * Creates the client.
   * @param options - Transport to the daemons.
   */
  constructor(options: QueueClientOptions) {
    const { transport, key } = options;
    this.transport = transport;
    this.keyHeaders = key === undefined ? {} : { authorization: `Bearer ${key}` };
  }

  /**
   * Submits a job; sent again where an answer was lost, as a repeat is the same job.
   * @param queue - Name of the queue.
   * @param jobId - Id of the job.
   * @param body - The job as JSON.
   * @returns Its state.
   */
  async submit(queue: string, jobId: string, body: string): Promise<DurableJobView> {
    const headers = { 'content-type': 'application/json', ...this.keyHeaders };
    const path = toJobPath(queue, jobId);
    const request = { method: 'POST', path, headers, body, isRepeatable: true } as const;
    return (await this.transport.send(request)) as DurableJobView;
  }

  /**
   * Gets the state of a job.
   * @param queue - Name of the queue.
   * @param jobId - Id of the job.
   * @returns Its state.
   */
  async getJob(queue: string, jobId: string): Promise<DurableJobView> {
    const { keyHeaders: headers } = this;
    const path = toJobPath(queue, jobId);
    const request = { method: 'GET', path, headers, isRepeatable: true } as const;
    return (await this.transport.send(request)) as DurableJobView;
  }

  /**
   * Cancels a job; cancelled twice, it is cancelled once.
   * @param queue - Name of the queue.
   * @param jobId - Id of the job.
   * @returns Its state.
   */
  async cancelJob(queue: string, jobId: string): Promise<DurableJobView> {
    const path = toJobPath(queue, jobId);
    const { keyHeaders: headers } = this;
    const request = { method: 'DELETE', path, headers, isRepeatable: true } as const;
    return (await this.transport.send(request)) as DurableJobView;
  }

  /**
   * Counts the jobs of a queue that have not begun.
   * @param queue - Name of the queue.
   * @returns The queue.
   */
  async getQueue(queue: string): Promise<QueueView> {
    const path = `/v1/queues/${encodeURIComponent(queue)}`;
    const { keyHeaders: headers } = this;
    const request = { method: 'GET', path, headers, isRepeatable: true } as const;
    return (await this.transport.send(request)) as QueueView;
  }

  /**
   * Lists the organisations.
   * @returns Each with its share, its limit and its use.
   */
  async listOrganisations(): Promise<readonly OrganisationView[]> {
    const request = { method: 'GET', path: '/v1/organisations', isRepeatable: true } as const;
    return (await this.transport.send(request)) as readonly OrganisationView[];
  }
}
