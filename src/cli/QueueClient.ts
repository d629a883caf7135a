import type { DurableJobView } from '../callers/index.js';
import type { DaemonTransport } from '../operators/index.js';

/** A queue with the jobs that have not begun. */
export interface QueueView {
  readonly queue: string;
  readonly pendingJobCount: number;
}

/** Options of {@link QueueClient}. */
export interface QueueClientOptions {
  readonly transport: DaemonTransport;
}

function toJobPath(queue: string, jobId: string): string {
  return `/v1/queues/${encodeURIComponent(queue)}/jobs/${encodeURIComponent(jobId)}`;
}

/** The interface of durable jobs of a list of daemons, as the command line uses it. */
export class QueueClient {
  private readonly transport: DaemonTransport;

  /**
   * Creates the client.
   * @param options - Transport to the daemons.
   */
  constructor(options: QueueClientOptions) {
    this.transport = options.transport;
  }

  /**
   * Submits a job; sent again where an answer was lost, as a repeat is the same job.
   * @param queue - Name of the queue.
   * @param jobId - Id of the job.
   * @param body - The job as JSON.
   * @returns Its state.
   */
  async submit(queue: string, jobId: string, body: string): Promise<DurableJobView> {
    const headers = { 'content-type': 'application/json' };
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
    const request = { method: 'GET', path: toJobPath(queue, jobId), isRepeatable: true } as const;
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
    const request = { method: 'DELETE', path, isRepeatable: true } as const;
    return (await this.transport.send(request)) as DurableJobView;
  }

  /**
   * Counts the jobs of a queue that have not begun.
   * @param queue - Name of the queue.
   * @returns The queue.
   */
  async getQueue(queue: string): Promise<QueueView> {
    const path = `/v1/queues/${encodeURIComponent(queue)}`;
    const request = { method: 'GET', path, isRepeatable: true } as const;
    return (await this.transport.send(request)) as QueueView;
  }
}
