import type { FastifyInstance, FastifyRequest } from 'fastify';
import { throwError } from '../errors/index.js';
import type {
  CallerIdentity,
  DurableJobSpec,
  DurableJobState,
  QueueReference,
  QueueTerms,
} from '../jobs/index.js';
import { authenticateCaller, getQueueTerms, type QueueConfiguration } from '../queues/index.js';
import type { Clock } from '../utils/index.js';
import { parseDurableJob } from './parseDurableJob.js';

const QUEUE_PATH = '/v1/queues/:queue';
const JOB_PATH = '/v1/queues/:queue/jobs/:jobId';
const JOB_ID_PATTERN = /^[A-Za-z0-9_-]{1,64}$/;
const STORED = 201;

/** Takes durable jobs and tells of them; errors are RattanliftErrors. */
export interface DurableJobPort {
  /** Stores a job; a repeat of one that is known changes nothing. */
  submit(job: DurableJobSpec, caller?: CallerIdentity): Promise<void>;
  /** Gets the state of a job; undefined where there certainly is none. */
  getState(
    queue: QueueReference,
    jobId: string,
    caller?: CallerIdentity,
  ): Promise<DurableJobState | undefined>;
  /** Cancels a job; false where there certainly is none. */
  cancel(queue: QueueReference, jobId: string, caller?: CallerIdentity): Promise<boolean>;
  /** Counts the jobs of a queue that have not begun. */
  countPending(queue: QueueReference, caller?: CallerIdentity): Promise<number>;
}

/** Options of {@link registerDurableJobRoutes}. */
export interface DurableJobRoutesOptions {
  readonly port: DurableJobPort;
  readonly getConfiguration: () => QueueConfiguration | undefined;
  readonly clock: Clock;
}

/** Form of the `Authorization` header, which carries the key of an organisation. */
const BEARER_PATTERN = /^Bearer (.+)$/;

/** The queue that a request is about, and whose request it is. */
interface AddressedQueue {
  readonly terms: QueueTerms;
  readonly caller: CallerIdentity | undefined;
}

interface Parameters {
  readonly queue: string;
  readonly jobId?: string;
}

/** What the caller is told of a job. */
export interface DurableJobView {
  readonly queue: string;
  readonly jobId: string;
  readonly state: DurableJobState;
}

/**
 * Registers the routes of durable jobs: submit, state, cancel, and how many wait.
 * @param server - The server.
 * @param options - Where jobs go, and the queues that there are.
 */
export function registerDurableJobRoutes(
  server: FastifyInstance,
  options: DurableJobRoutesOptions,
): void {
  const { port, clock } = options;

  const findQueue = ({ params, headers }: FastifyRequest): AddressedQueue => {
    const { queue } = params as Parameters;
    const configuration = options.getConfiguration();
    if (configuration === undefined) throwError('home-unavailable', 'No configuration is known.');
    const found = configuration.queues.find(({ terms }) => terms.queue === queue);
    if (found === undefined) return throwError('unknown-pool', `There is no queue ${queue}.`);
    const key = BEARER_PATTERN.exec(headers.authorization ?? '')?.[1];
    const terms = getQueueTerms(configuration, found);
    return { terms, caller: authenticateCaller(configuration, found, key) };
  };

  const findJobId = ({ params }: FastifyRequest): string => {
    const { jobId = '' } = params as Parameters;
    if (JOB_ID_PATTERN.test(jobId)) return jobId;
    return throwError('bad-request', 'A job id has up to 64 letters, digits, "-" and "_".', {
      field: 'jobId',
    });
  };

  const view = ({ queue }: QueueTerms, jobId: string, state: DurableJobState): DurableJobView => ({
    queue,
    jobId,
    state,
  });

  server.post(JOB_PATH, async (request, reply) => {
    const { terms, caller } = findQueue(request);
    const jobId = findJobId(request);
    const body = (request.body as Buffer | undefined) ?? Buffer.alloc(0);
    const organisation = caller?.organisation;
    const origin = { jobId, terms, organisation, nowMs: clock.wallMs() };
    await port.submit(parseDurableJob(body, origin), caller);
    return reply.code(STORED).send(view(terms, jobId, 'queued'));
  });

  server.get(JOB_PATH, async (request, reply) => {
    const { terms, caller } = findQueue(request);
    const jobId = findJobId(request);
    const state = await port.getState(terms, jobId, caller);
    if (state === undefined) throwError('unknown-job', `There is no job ${jobId}.`);
    return reply.send(view(terms, jobId, state));
  });

  server.delete(JOB_PATH, async (request, reply) => {
    const { terms, caller } = findQueue(request);
    const jobId = findJobId(request);
    const isKnown = await port.cancel(terms, jobId, caller);
    if (!isKnown) throwError('unknown-job', `There is no job ${jobId}.`);
    return reply.send(view(terms, jobId, 'cancelled'));
  });

  server.get(QUEUE_PATH, async (request, reply) => {
    const { terms, caller } = findQueue(request);
    const { queue } = terms;
    return reply.send({ queue, pendingJobCount: await port.countPending(terms, caller) });
  });
}
