import { setTimeout as sleep } from 'node:timers/promises';
import { expect, vi } from 'vitest';
import type { DurableJobSpec } from '../../src/jobs/index.js';
import type { LeaseRenewal } from '../../src/targets/index.js';
import { PoolPartitions } from '../../src/taskHome/index.js';
import { type ClusterNode, JobsCluster } from '../../standins/jobs/index.js';
import {
  AttendedClock,
  LinkedTargets,
  measurePageRecord,
  NarrowLink,
} from '../../standins/links/index.js';
import {
  encodeAcceptedJob,
  encodeTargetEntry,
  makeService,
  makeWaitingJob,
} from './takeoverRecords.js';
import type { TakeoverCase } from './TakeoverCase.js';
import { TakeoverTrace } from './TakeoverTrace.js';
import { TakeoverWatch } from './TakeoverWatch.js';

const GROUP = 'homes';
const JOBS_TOPIC = 'jobs';
const TARGETS_TOPIC = 'targets';
const PARTITION_COUNT = 8;
const TARGETS_PER_POOL = 4;
const TASKS_PER_TARGET = 2;
/** What is left of the leases when the home is killed, in milliseconds. */
const LEASE_LEFT_MS = 4_000;
const LEASE_MS = 5_000;
const RENEWAL_HOLD_MS = 1_000;
/** The store's readings wait, so that followers don't fill a narrow link with empty answers. */
const STORE_WAIT_MS = 500;
const MAX_PAGE = { maxCount: 500, maxBytes: 1_000_000, measure: measurePageRecord };
const WRITE_TIMEOUT_MS = 1_000;
const LOOK_MS = 20;
const STARTS_WITHIN_MS = 90_000;
const AT_ONCE = { timeout: STARTS_WITHIN_MS, interval: 1 };
/** From a renewal of the next holder to the kill: it learns of its share some 1.75 s after that. */
const PHASE_MS = 310;
/** Time after the home is there in which its renewals go on. */
const WATCHED_MS = 1_500;
/** Time after the first page is asked for until the reader is cut, in milliseconds. */
const READ_FOR_MS = 1_200;

/** A home on a wide link that is killed, and an instance behind a narrow link that takes over. */
export class TakeoverWorld {
  readonly cluster: JobsCluster;

  /** Calls that were answered that an accepted job does not exist. */
  readonly denials: string[] = [];

  readonly trace: TakeoverTrace;

  readonly watch: TakeoverWatch;

  private readonly takeover: TakeoverCase;

  /** Link of the instance that takes over. */
  private readonly link: NarrowLink;

  private readonly clock = new AttendedClock();

  /** Jobs that were accepted. */
  private readonly accepted: { readonly pool: string; readonly jobId: string }[] = [];

  private isHomeThere = false;

  /**
   * Creates a world that has not started.
   * @param takeover - What waits, and the link.
   */
  constructor(takeover: TakeoverCase) {
    this.takeover = takeover;
    const { pools, linkMbps, takenShare, windowBytes } = takeover;
    const { clock } = this;
    this.trace = new TakeoverTrace(clock);
    this.link = new NarrowLink({ bitsPerMs: linkMbps * 1_000, takenShare, windowBytes, clock });
    this.cluster = new JobsCluster({
      configuration: {
        version: 1,
        queues: [],
        pools: pools.map((pool) => ({ pool, isStandby: false })),
      },
      vms: pools.flatMap((pool) =>
        Array.from({ length: TARGETS_PER_POOL }, (_unused, place) => {
          const vm = `${pool}-${place}`;
          return { vm, pool, state: 'up' as const, targetId: `t-${vm}` };
        }),
      ),
      events: this.trace,
      nodeCount: 1,
      targetClock: clock,
      store: { maxPage: MAX_PAGE, longestWaitMs: STORE_WAIT_MS, membershipClock: clock },
    });
    this.cluster.targets.longestHoldMs = RENEWAL_HOLD_MS;
    this.watch = new TakeoverWatch({
      cluster: this.cluster,
      trace: this.trace,
      jobsTopic: JOBS_TOPIC,
      partitions: pools.map((pool) => this.getPartition(pool)),
    });
  }

  /** Starts both instances, with waiting jobs and long-running tasks at the home. */
  async start(): Promise<void> {
    const { cluster } = this;
    const { pools, linkMbps } = this.takeover;
    await Promise.all(pools.map((pool) => this.storeWaitingJobs(pool)));
    await this.listOtherTargets();
    await cluster.start();
    const [home] = cluster.nodes;
    await vi.waitFor(() => expect(home!.node.isReady).toBe(true), STARTS_WITHIN_MS);
    await Promise.all(pools.map((pool) => this.submitService(home!, pool)));
    const taskCount = pools.length * TARGETS_PER_POOL * TASKS_PER_TARGET;
    await vi.waitFor(
      () => expect(cluster.targets.listRunning()).toHaveLength(taskCount),
      STARTS_WITHIN_MS,
    );
    await cluster.startNode({ coreCount: 1, linkMbps }, this.link);
    if (this.takeover.hasThird === true) await cluster.startNode();
    await vi.waitFor(() => this.assertOwners(home!), STARTS_WITHIN_MS);
  }

  /** Kills the home while the leases have four seconds left. */
  async killHome(): Promise<void> {
    const { cluster, trace, watch } = this;
    const home = cluster.nodes.shift()!;
    home.targetAccess.isCut = true;
    await vi.waitFor(() => expect(this.getLeaseLeftMs()).toBeLessThan(LEASE_LEFT_MS), AT_ONCE);
    await this.waitForPhase(cluster.nodes[0]!);
    home.storeAccess.isCut = true;
    watch.isHomeDead = true;
    // Its last renewals arrive at this moment, whatever the machine does meanwhile: the leases last
    // for four seconds from here, and the group keeps its share for the whole time to live.
    await cluster.store.join(watch.getJoin(home.instance));
    trace.begin();
    this.listTargetIds().forEach((targetId) => this.renewLate(targetId, LEASE_LEFT_MS));
    void home.node.handOver();
    await Promise.all([home.node.stop(), home.server.close()]);
  }

  /** Renews the leases over the narrow link from the first moment until the new home is there. */
  async renewMeanwhile(): Promise<void> {
    const { link, cluster, trace } = this;
    const targets = new LinkedTargets(cluster.targets, link);
    await vi.waitFor(() => expect(trace.has('share')).toBe(true), STARTS_WITHIN_MS);
    while (!this.isHomeThere) {
      this.listTargetIds().forEach((targetId) => {
        const sentAtMs = this.clock.monotonicMs();
        const renewal = this.makeLateRenewal(targetId, LEASE_MS);
        targets
          .renew({ targetId, host: '', port: 0 }, renewal)
          .then(() => trace.noteLength('answered', this.clock.monotonicMs() - sentAtMs))
          .catch(() => trace.noteLength('unanswered', this.clock.monotonicMs() - sentAtMs));
      });
      // eslint-disable-next-line no-await-in-loop -- the pause belongs between two rounds
      await sleep(RENEWAL_HOLD_MS);
    }
  }

  /**
   * Stores an accepted job as the earlier home does, late.
   * @param job - The job.
   * @param targetId - The target on which its first task is placed; absent while it waits.
   * @returns Whether the store took it.
   */
  async storeLate(job: DurableJobSpec, targetId?: string): Promise<boolean> {
    const last = this.watch.getAppend(this.getPartition(job.terms.pool));
    const { sequence } = last.fence!;
    const fence = { ...last.fence!, sequence: sequence + 1 };
    const records = encodeAcceptedJob(job, targetId);
    const request = { ...last, records, fence };
    const { type } = await this.cluster.store.append(request);
    if (type === 'appended') this.addAccepted(job);
    return type === 'appended';
  }

  /**
   * Starts the first task of a job and renews the lease as the earlier home does, late.
   * @param job - The job.
   * @param targetId - The target.
   */
  async startLate(job: DurableJobSpec, targetId: string): Promise<void> {
    const { targets } = this.cluster;
    const { term, leaseUntilTargetMs = 0 } = this.makeLateRenewal(targetId, LEASE_MS);
    const { jobId, payload } = job;
    const start = { taskName: `${jobId}.0.0.0`, run: 1, payload, leaseUntilTargetMs, term };
    await targets.start({ targetId, host: '', port: 0 }, start);
    this.renewLate(targetId, LEASE_MS);
  }

  /** Cuts the instance that takes over from the store while it reads the partition. */
  async cutReader(): Promise<void> {
    await this.waitForReading();
    await sleep(READ_FOR_MS);
    const { instance, storeAccess } = this.cluster.nodes[0]!;
    storeAccess.isCut = true;
    await this.cluster.store.join(this.watch.getJoin(instance));
    this.trace.note('reader cut');
  }

  /** Waits until the first page of a partition is asked for. */
  async waitForReading(): Promise<void> {
    const { pools } = this.takeover;
    const what = `page of ${this.getPartition(pools[0]!)}`;
    await vi.waitFor(() => expect(this.trace.has(what)).toBe(true), STARTS_WITHIN_MS);
  }

  /**
   * Waits for the new homes, and asks for every accepted job then.
   * @param limitMs - Longest wait for the homes.
   * @returns The jobs whose state is not given.
   */
  async askForAll(limitMs: number): Promise<readonly string[]> {
    const { pools } = this.takeover;
    await Promise.all(pools.map((pool) => this.waitForHome(pool, limitMs)));
    this.isHomeThere = true;
    this.trace.note('home there');
    const { accepted } = this;
    const states = await Promise.all(accepted.map(({ pool, jobId }) => this.ask(pool, jobId)));
    await sleep(WATCHED_MS);
    return accepted.filter((_job, place) => states[place] === undefined).map(({ jobId }) => jobId);
  }

  /**
   * Waits until a home answers for a pool.
   * @param pool - The pool.
   * @param limitMs - Longest wait.
   */
  async waitForHome(pool: string, limitMs: number): Promise<void> {
    const untilMs = this.clock.monotonicMs() + limitMs;
    const { jobId } = this.accepted.find((job) => job.pool === pool)!;
    while (this.clock.monotonicMs() < untilMs) {
      // eslint-disable-next-line no-await-in-loop -- one question follows the other
      if ((await this.ask(pool, jobId)) !== undefined) return;
      // eslint-disable-next-line no-await-in-loop -- the pause belongs between two questions
      await sleep(LOOK_MS);
    }
  }

  /**
   * Lists the runs that targets have killed for their leases, and notes when they were.
   * @returns Names of the tasks.
   */
  listLapses(): readonly string[] {
    const targets = this.listTargetIds().map((targetId) => this.cluster.targets.get(targetId));
    const lapsed = targets.flatMap((target) => {
      void target.runningNames;
      return target.lapsedRuns;
    });
    lapsed.forEach(({ atMs }) => this.trace.note('lapsed', atMs));
    return lapsed.map(({ taskName }) => taskName);
  }

  private listTargetIds(): readonly string[] {
    return this.cluster.fleet.listTargets();
  }

  /** Makes a renewal in the term of the earlier home. */
  private makeLateRenewal(targetId: string, leaseMs: number): LeaseRenewal {
    const leaseUntilTargetMs = this.clock.monotonicMs() + leaseMs;
    return { ...this.watch.getRenewal(targetId), leaseUntilTargetMs, waitMs: 0 };
  }

  private renewLate(targetId: string, leaseMs: number): void {
    this.cluster.targets.get(targetId).renew(this.makeLateRenewal(targetId, leaseMs));
  }

  /** Waits for the moment after which the next holder renews its membership at the latest. */
  private async waitForPhase({ instance }: ClusterNode): Promise<void> {
    const { watch } = this;
    const before = watch.getJoin(instance);
    await vi.waitFor(() => expect(watch.getJoin(instance)).not.toBe(before), AT_ONCE);
    await sleep(PHASE_MS);
  }

  private getLeaseLeftMs(): number {
    const { targets } = this.cluster;
    const ends = this.listTargetIds().map((targetId) => targets.get(targetId).leaseEndsAtMs);
    return Math.min(...ends) - this.clock.monotonicMs();
  }

  private getPartition(pool: string): number {
    const listPools = (): readonly string[] => this.takeover.pools;
    return new PoolPartitions({ partitionCount: PARTITION_COUNT, listPools }).getPartition(pool);
  }

  private includesPool(partitions: readonly number[]): boolean {
    return this.takeover.pools.some((pool) => partitions.includes(this.getPartition(pool)));
  }

  /** The case is forced only if each instance is a member and the home holds every pool. */
  private async assertOwners({ instance }: ClusterNode): Promise<void> {
    const owners = await this.cluster.store.listOwners(GROUP);
    expect(new Set(owners.map(({ member }) => member)).size).toBe(this.cluster.nodes.length);
    const partitions = this.takeover.pools.map((pool) => this.getPartition(pool));
    expect(new Set(partitions).size).toBe(partitions.length);
    const holders = owners.filter(({ partition }) => partitions.includes(partition));
    expect(holders.every(({ member }) => member.startsWith(instance))).toBe(true);
  }

  private async storeWaitingJobs(pool: string): Promise<void> {
    const jobs = Array.from({ length: this.takeover.jobCount }, (_unused, number) =>
      makeWaitingJob(pool, number),
    );
    jobs.forEach((job) => this.addAccepted(job));
    await this.cluster.store.append({
      topic: JOBS_TOPIC,
      partition: this.getPartition(pool),
      records: jobs.flatMap((job) => encodeAcceptedJob(job)),
      timeoutMs: WRITE_TIMEOUT_MS,
    });
  }

  private async listOtherTargets(): Promise<void> {
    const { otherTargetCount = 0 } = this.takeover;
    const records = Array.from({ length: otherTargetCount }, (_unused, number) =>
      encodeTargetEntry(`other-${number}`),
    );
    const request = { topic: TARGETS_TOPIC, partition: 0, timeoutMs: WRITE_TIMEOUT_MS };
    await this.cluster.store.append({ ...request, records });
  }

  private async submitService({ node }: ClusterNode, pool: string): Promise<void> {
    const taskCount = TARGETS_PER_POOL * TASKS_PER_TARGET;
    const job = makeService(pool, `${pool}-service`, taskCount, TASKS_PER_TARGET);
    await vi.waitFor(() => node.gateway.submit(job), STARTS_WITHIN_MS);
    this.addAccepted(job);
  }

  private addAccepted({ jobId, terms }: DurableJobSpec): void {
    this.accepted.push({ pool: terms.pool, jobId });
  }

  private async ask(pool: string, jobId: string): Promise<string | undefined> {
    const { gateway } = this.cluster.nodes.at(-1)!.node;
    try {
      const state = await gateway.getState({ queue: pool, pool }, jobId);
      if (state === undefined) this.denials.push(jobId);
      return state;
    } catch {
      return undefined;
    }
  }
}
