import { throwError, toRattanliftError } from '../errors/index.js';
import {
  type CallerIdentity,
  type DurableJobSpec,
  type DurableJobState,
  getQueueReference,
  type PoolSearch,
  type QueueReference,
} from '../jobs/index.js';
import type { LimitOrder, PoolDemand } from '../systems/index.js';
import type { EndedTargets } from '../vms/index.js';
import { HomeCalls, type HomeCallsOptions } from './HomeCalls.js';
import type { PoolOrganisations } from './LimitParts.js';

/** Options of {@link JobGateway}. */
export type JobGatewayOptions = HomeCallsOptions;

/** How long a drain lasts without another message, in milliseconds: ten checks of the fleet. */
const DRAIN_DURATION_MS = 3_000;

/** Searches for the job of one submission; a further one follows a move of its queue meanwhile. */
const MAX_SEARCH_COUNT = 3;

/** A call of a caller about one job. */
interface JobCall {
  readonly type: 'submit' | 'read' | 'cancel';
  readonly jobId: string;
  /** Pool that the queue of the job has now. */
  readonly pool: string;
}

/**
 * Forwards requests about durable jobs from their entry to the homes of their pools. A job is kept
 * by the pool that its queue had when it was accepted, so a home that does not have it names the
 * other pools of the queue, which are searched then.
 */
export class JobGateway {
  private readonly options: JobGatewayOptions;

  private readonly calls: HomeCalls;

  /**
   * Creates a gateway.
   * @param options - Directory of the homes, and the means to call them.
   */
  constructor(options: JobGatewayOptions) {
    this.options = options;
    this.calls = new HomeCalls(options);
  }

  /** Whether calls to homes have had no reply for some time. */
  get areHomesSilent(): boolean {
    return this.calls.areHomesSilent;
  }

  /**
   * Submits a job. A repeated submission refers to the same job, also where its queue has another
   * pool meanwhile.
   * @param job - The job.
   * @param caller - Whose call it is; undefined if it needs no key.
   * @returns Resolves once it is stored.
   * @throws RattanliftError With an outcome of `not-run` only if the job is certainly not stored.
   */
  async submit(job: DurableJobSpec, caller?: CallerIdentity): Promise<void> {
    await this.submitAfterSearch(job, caller, undefined, 0);
  }

  /**
   * Gets the state of a job.
   * @param queue - The queue of the job.
   * @param jobId - Id of the job.
   * @param caller - Whose call it is; undefined if it needs no key.
   * @returns The state, or undefined if the caller certainly has no such job.
   * @throws RattanliftError If no home could answer.
   */
  async getState(
    queue: QueueReference,
    jobId: string,
    caller?: CallerIdentity,
  ): Promise<DurableJobState | undefined> {
    return this.askForState('get-durable-job', queue, jobId, caller);
  }

  /**
   * Cancels a job.
   * @param queue - The queue of the job.
   * @param jobId - Id of the job.
   * @param caller - Whose call it is; undefined if it needs no key.
   * @returns Whether the caller has such a job.
   * @throws RattanliftError If no home confirmed the cancellation.
   */
  async cancel(queue: QueueReference, jobId: string, caller?: CallerIdentity): Promise<boolean> {
    const state = await this.askForState('cancel-durable-job', queue, jobId, caller);
    return state !== undefined;
  }

  /**
   * Counts the jobs of a queue that have not started.
   * @param queue - The queue.
   * @param caller - Whose call it is; undefined if it needs no key.
   * @returns The number of jobs, of all organisations and in all pools of the queue.
   * @throws RattanliftError If a home could not answer.
   */
  async countPending(queue: QueueReference, caller?: CallerIdentity): Promise<number> {
    const type = 'count-pending-jobs';
    const reply = await this.calls.call({ type, ...getQueueReference(queue), caller });
    if (reply.type !== 'pending-jobs') return 0;
    const { queue: name, address } = queue;
    const counts = (reply.otherPools ?? []).map(async (pool) => {
      const other = await this.calls.call({ type, pool, queue: name, address, caller });
      return other.type === 'pending-jobs' ? other.count : 0;
    });
    return (await Promise.all(counts)).reduce((sum, count) => sum + count, reply.count);
  }

  /**
   * Informs the home of a pool of drained and ended targets, and asks for the pool's demand.
   * @param pool - The pool.
   * @param drainedTargets - Ids of the targets that get no new tasks.
   * @param ended - The targets whose lifetimes are over.
   * @param limits - Parts of the limits of organisations for the pool, if any has a limit.
   * @returns The demand, or undefined if no home answers at this moment.
   */
  async syncPool(
    pool: string,
    drainedTargets: readonly string[],
    ended: EndedTargets,
    limits?: LimitOrder,
  ): Promise<PoolDemand | undefined> {
    const lists = { drainedTargets, drainedForMs: DRAIN_DURATION_MS, ...ended };
    const request = { type: 'sync-pool', pool, ...lists, limits } as const;
    const outcome = await this.calls.attempt(request).catch(() => undefined);
    if (outcome?.type !== 'reply' || outcome.reply.type !== 'pool-demand') return undefined;
    return outcome.reply.demand;
  }

  /**
   * Gets what organisations use in a pool and what they may use.
   * @param pool - Name of the pool.
   * @returns Their use, and the parts of their limits.
   * @throws RattanliftError If no home could answer.
   */
  async getOrganisationUse(pool: string): Promise<PoolOrganisations> {
    const reply = await this.calls.call({ type: 'get-organisation-use', pool });
    return reply.type === 'organisation-use' ? reply : { use: [], parts: [] };
  }

  /** Submits a job, and searches for it first where its home wants that. */
  private async submitAfterSearch(
    job: DurableJobSpec,
    caller: CallerIdentity | undefined,
    search: PoolSearch | undefined,
    searchCount: number,
  ): Promise<void> {
    const { pool } = job.terms;
    const type = 'submit-durable-job';
    const reply = await this.calls.call({ type, pool, job, caller, search });
    if (reply.type !== 'search-first') return;
    if (searchCount >= MAX_SEARCH_COUNT) {
      throwError('home-unavailable', 'The queue of the job is moved again and again.');
    }
    const isStored = await this.isStoredElsewhere(job, caller, reply.search);
    if (!isStored) await this.submitAfterSearch(job, caller, reply.search, searchCount + 1);
  }

  private async isStoredElsewhere(
    job: DurableJobSpec,
    caller: CallerIdentity | undefined,
    { pools, configurationVersion }: PoolSearch,
  ): Promise<boolean> {
    const { jobId, terms } = job;
    const call = { type: 'submit', jobId, pool: terms.pool } as const;
    const foundIn = await this.search(call, pools, async (pool) => {
      const isStored = await this.isStoredIn(pool, job, caller, configurationVersion);
      return isStored ? pool : undefined;
    });
    return foundIn !== undefined;
  }

  private async isStoredIn(
    pool: string,
    { jobId, terms }: DurableJobSpec,
    caller: CallerIdentity | undefined,
    configurationVersion: number,
  ): Promise<boolean> {
    const queue = { ...getQueueReference(terms), configurationVersion };
    try {
      const reply = await this.calls.call({ type: 'find-durable-job', pool, jobId, queue, caller });
      return reply.type === 'found-job' && reply.isStored;
    } catch (thrown) {
      const error = toRattanliftError(thrown);
      // An instance of an earlier release does not know the question.
      if (error.kind !== 'bad-request') throw error;
      return throwError('home-unavailable', 'An earlier pool of the queue does not answer.');
    }
  }

  private async askForState(
    type: 'get-durable-job' | 'cancel-durable-job',
    terms: QueueReference,
    jobId: string,
    caller: CallerIdentity | undefined,
  ): Promise<DurableJobState | undefined> {
    const { pool } = terms;
    const queue = getQueueReference(terms);
    const reply = await this.calls.call({ type, pool, queue, jobId, caller });
    if (reply.type !== 'durable-job') return undefined;
    if (reply.state !== undefined) return reply.state;
    const call = type === 'get-durable-job' ? 'read' : 'cancel';
    const { otherPools = [] } = reply;
    return this.search({ type: call, jobId, pool }, otherPools, async (other) => {
      const found = await this.calls.call({ type, pool: other, jobId, caller });
      return found.type === 'durable-job' ? found.state : undefined;
    });
  }

  /**
   * Asks the homes of all other pools of a queue. That none has a job is certain only if all have
   * answered.
   */
  private async search<Found>(
    { type: call, jobId, pool }: JobCall,
    otherPools: readonly string[],
    ask: (pool: string) => Promise<Found | undefined>,
  ): Promise<Found | undefined> {
    const results = await Promise.allSettled(otherPools.map(ask));
    const place = results.findIndex(
      (result) => result.status === 'fulfilled' && result.value !== undefined,
    );
    const found = results[place];
    if (found?.status === 'fulfilled') {
      const foundIn = otherPools[place];
      this.options.events.write('jobFoundElsewhere', { jobId, call, pool, foundIn });
      return found.value;
    }
    const failed = results.find(({ status }) => status === 'rejected');
    if (failed?.status === 'rejected') throw toRattanliftError(failed.reason);
    return undefined;
  }
}
