import { toRattanliftError } from '../errors/index.js';
import type { JobCaller, QueueReference } from '../jobs/index.js';
import type { DurableJobRequest, PeerReply } from '../peers/index.js';
import { assertNever, type Clock, SystemClock } from '../utils/index.js';
import type { TaskHome } from './TaskHome.js';

type CountRequest = Extract<DurableJobRequest, { readonly type: 'count-pending-jobs' }>;

type CallerRequest = Extract<
  DurableJobRequest,
  { readonly type: 'get-durable-job' | 'cancel-durable-job' }
>;

const NOT_HOME_REPLY: PeerReply = {
  type: 'refused',
  kind: 'home-unavailable',
  message: 'This instance does not decide for the pool.',
};

const LOADING_REPLY: PeerReply = {
  type: 'refused',
  kind: 'home-unavailable',
  message: 'This home is still reading its jobs.',
  isHomeLoading: true,
};

/** Names the other pools of a queue to an entry whose job is not here. */
async function createUnknownReply(
  home: TaskHome,
  queue: QueueReference | undefined,
): Promise<PeerReply> {
  const otherPools = await home.jobs.moves.listOtherPools(queue);
  return otherPools.length === 0 ? { type: 'durable-job' } : { type: 'durable-job', otherPools };
}

async function countPending(
  home: TaskHome,
  { pool, queue, address, configurationVersion }: CountRequest,
): Promise<PeerReply> {
  const count = home.countPending(queue, address);
  const reference = { pool, queue, address, configurationVersion };
  const otherPools = await home.jobs.moves.listKnownOtherPools(reference);
  return { type: 'pending-jobs', count, ...(otherPools.length === 0 ? {} : { otherPools }) };
}

function toJobCaller({ caller, queue }: CallerRequest): JobCaller {
  return { organisation: caller?.organisation, queue };
}

async function dispatch(home: TaskHome, request: DurableJobRequest): Promise<PeerReply> {
  switch (request.type) {
    case 'submit-durable-job': {
      const search = await home.submit(request.job, request.search);
      return search === undefined ? { type: 'done' } : { type: 'search-first', search };
    }
    case 'find-durable-job': {
      const { jobId, queue, caller } = request;
      const isStored = await home.find({ jobId, queue, organisation: caller?.organisation });
      return { type: 'found-job', isStored };
    }
    case 'get-durable-job': {
      const state = home.getState(request.jobId, toJobCaller(request));
      if (state === undefined) return createUnknownReply(home, request.queue);
      return { type: 'durable-job', state };
    }
    case 'cancel-durable-job': {
      const isKnown = await home.cancel(request.jobId, toJobCaller(request));
      if (!isKnown) return createUnknownReply(home, request.queue);
      return { type: 'durable-job', state: 'cancelled' };
    }
    case 'count-pending-jobs':
      return countPending(home, request);
    case 'get-organisation-use':
      return { type: 'organisation-use', ...home.getOrganisationUse(request.pool) };
    case 'sync-pool':
      return { type: 'pool-demand', demand: await home.syncPool(request) };
    default:
      return assertNever(request);
  }
}

/**
 * Handles a request about durable jobs at the home of their pool.
 * @param home - The home on this instance; undefined if the home is elsewhere.
 * @param request - The request.
 * @param clock - Clock by which the home tells when to come back.
 * @returns The reply; an error is returned as a refusal of the same kind.
 */
export async function handleJobRequest(
  home: TaskHome | undefined,
  request: DurableJobRequest,
  clock: Clock = new SystemClock(),
): Promise<PeerReply> {
  if (home === undefined) return NOT_HOME_REPLY;
  if (!home.isLoaded) return LOADING_REPLY;
  try {
    return await dispatch(home, request);
  } catch (thrown) {
    const { kind, message, retryAtMs } = toRattanliftError(thrown);
    const refusal = { type: 'refused', kind, message } as const;
    if (retryAtMs === undefined) return refusal;
    return { ...refusal, retryAfterMs: Math.max(0, retryAtMs - clock.wallMs()) };
  }
}
