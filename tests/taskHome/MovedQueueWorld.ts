import { setTimeout as sleep } from 'node:timers/promises';
import {
  decodeJobRecord,
  type DurableJobSpec,
  type DurableJobState,
  type QueueTerms,
} from '../../src/jobs/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { MemoryMetrics } from '../../src/metrics/index.js';
import type { PeerReply } from '../../src/peers/index.js';
import { QueuePools } from '../../src/queues/index.js';
import type { KeyedLogPort } from '../../src/store/index.js';
import { ALL_MECHANISMS } from '../../src/systems/index.js';
import {
  handleJobRequest,
  JobGateway,
  PoolPartitions,
  TaskHome,
} from '../../src/taskHome/index.js';
import { PartitionOpening } from '../../src/taskHome/PartitionOpening.js';
import { HOME_PRODUCER } from '../../src/taskHome/PartitionTerms.js';
import { SeededRng, SystemClock } from '../../src/utils/index.js';
import { LeasedTargetsStandIn } from '../../standins/leasedTargets/index.js';
import { StoreStandIn } from '../../standins/store/index.js';
import { makeJob, TERMS } from './HomeWorld.js';

/** Pools that the queue may have; each is kept in a partition of its own. */
export const POOLS: readonly string[] = ['pages', 'archive', 'media'];
/** Instances that may be homes; an entry is none of them. */
export const INSTANCE_COUNT = 4;
const PARTITION_COUNT = 8;
/** Longest delay of a call to the store or to a home, in milliseconds. */
const LONGEST_DELAY_MS = 4;
const TIMING = { targetLeaseMs: 60_000, targetWaitMs: 10, keepFinishedMs: 60_000 };

/**
 * The homes of some pools, and entries that know different versions of the configuration. Calls
 * take drawn times, so that those of several requests mix.
 */
export class MovedQueueWorld {
  private readonly store = new StoreStandIn({ partitionCount: PARTITION_COUNT });

  private readonly partitions = new PoolPartitions({
    partitionCount: PARTITION_COUNT,
    listPools: () => POOLS,
  });

  private readonly clock = new SystemClock();

  private readonly events = new MemoryEventLog();

  private readonly random: SeededRng;

  /** What each instance knows of the pools of queues. */
  private readonly instances: readonly QueuePools[];

  private readonly homes = new Map<string, TaskHome>();

  private readonly gateway: JobGateway;

  /** Pool of the queue in each version, beginning with version 1. */
  private readonly placements: string[] = [POOLS[0]!];

  constructor(seed: number) {
    this.random = new SeededRng(seed);
    const { clock, events } = this;
    this.instances = Array.from(
      { length: INSTANCE_COUNT },
      () => new QueuePools({ store: this.createAccess(), topic: 'queues', clock, events }),
    );
    this.gateway = new JobGateway({
      instance: 'entry',
      peers: { call: (_peer, request) => this.handle(request as never) },
      handleLocally: () => Promise.reject(new Error('The entry is no home.')),
      directory: {
        get: (partition) => ({ instance: `home-${partition}`, host: '10.0.0.1', port: 1 }),
        refresh: () => Promise.resolve(),
      },
      partitions: this.partitions,
      clock: this.clock,
      metrics: new MemoryMetrics(),
      events: this.events,
    });
  }

  /** Opens the homes of the pools, each on an instance of its own. */
  async start(): Promise<void> {
    await Promise.all(this.instances.map((instance) => instance.refresh()));
    await Promise.all(POOLS.map((pool, instance) => this.replaceHome(pool, instance)));
  }

  close(): void {
    this.homes.forEach((home) => home.close());
  }

  /** Publishes a version in which the queue has another pool. */
  move(pool: string): void {
    this.placements.push(pool);
  }

  /**
   * Submits a job through an entry.
   * @param jobId - Id of the job.
   * @param lag - Count of versions that the entry has not heard of.
   */
  async submit(jobId: string, lag: number): Promise<void> {
    await this.gateway.submit({ ...makeJob(jobId), terms: this.getTerms(lag) });
  }

  getState(jobId: string): Promise<DurableJobState | undefined> {
    return this.gateway.getState(this.getTerms(0), jobId);
  }

  cancel(jobId: string): Promise<boolean> {
    return this.gateway.cancel(this.getTerms(0), jobId);
  }

  /** Opens the home of a pool on an instance; the earlier home is fenced. */
  async replaceHome(pool: string, instance: number): Promise<void> {
    const { clock, events } = this;
    const store = this.createAccess();
    const place = { store, topic: 'jobs', partition: this.partitions.getPartition(pool) };
    const opening = new PartitionOpening({
      ...{ ...place, pages: store, termsTopic: 'terms', instance: pool },
      ...{ mayClaim: () => true, events },
    });
    const claimed = await opening.claim();
    if (claimed === undefined) return;
    const home: TaskHome = new TaskHome({
      ...place,
      ...{ claimed, clock, events, timing: TIMING, mechanisms: ALL_MECHANISMS },
      targets: new LeasedTargetsStandIn(),
      producer: HOME_PRODUCER,
      metrics: new MemoryMetrics(),
      getEntries: () => new Map(),
      queuePools: this.instances[instance]!,
      listOrganisations: () => [],
      isGroupLeaseHeld: () => this.homes.get(pool) === home,
      mayExtendLeases: () => true,
      getConfirmationAgeMs: () => 0,
      onReplaced: () => undefined,
    });
    home.load(await opening.read(claimed));
    const isLater = claimed.term > (this.homes.get(pool)?.term ?? 0);
    if (isLater) this.homes.set(pool, home);
    else home.close();
  }

  /** Leaves a pool without a home. */
  removeHome(pool: string): void {
    this.homes.get(pool)?.close();
    this.homes.delete(pool);
  }

  /** Lists the pools in whose partitions a job is stored. */
  async listStoredIn(jobId: string): Promise<readonly string[]> {
    const isStored = await Promise.all(
      POOLS.map(async (pool) => {
        const { records } = await this.store.readNewest('jobs', this.partitions.getPartition(pool));
        return records
          .map((record) => decodeJobRecord(record))
          .some((record) => record.type !== 'other' && record.jobId === jobId);
      }),
    );
    return POOLS.filter((_pool, index) => isStored[index]);
  }

  private getTerms(lag: number): QueueTerms {
    const configurationVersion = Math.max(1, this.placements.length - lag);
    const pool = this.placements[configurationVersion - 1]!;
    return { ...TERMS, pool, address: 'wiki.example/save/', configurationVersion };
  }

  private async handle(
    request: Parameters<typeof handleJobRequest>[1] & { readonly job?: DurableJobSpec },
  ): Promise<PeerReply> {
    return this.callLate(() => handleJobRequest(this.homes.get(request.pool), request));
  }

  private createAccess(): KeyedLogPort {
    const { store } = this;
    return {
      append: (request) => this.callLate(() => store.append(request)),
      readNewest: (...page) => this.callLate(() => store.readNewest(...page)),
      readFrom: (request) => this.callLate(() => store.readFrom(request)),
    };
  }

  /** Makes a call that takes a drawn time on its way, and its answer another one. */
  private async callLate<Answer>(call: () => Promise<Answer>): Promise<Answer> {
    await this.delay();
    const answer = await call();
    await this.delay();
    return answer;
  }

  private async delay(): Promise<void> {
    await sleep(this.random.next() * LONGEST_DELAY_MS);
  }
}
