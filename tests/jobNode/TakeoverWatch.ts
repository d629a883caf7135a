import { vi } from 'vitest';
import type { AppendRequest, JoinRequest } from '../../src/store/index.js';
import type { LeaseRenewal } from '../../src/targets/index.js';
import type { JobsCluster } from '../../standins/jobs/index.js';
import { parseMember } from '../../src/taskHome/index.js';
import type { TakeoverTrace } from './TakeoverTrace.js';

/** Options of {@link TakeoverWatch}. */
export interface TakeoverWatchOptions {
  readonly cluster: JobsCluster;
  readonly trace: TakeoverTrace;
  readonly jobsTopic: string;
  /** Partitions of the pools. */
  readonly partitions: readonly number[];
}

/** Watches the calls that arrive at the store and at the targets of a cluster. */
export class TakeoverWatch {
  /** Whether the earlier home is dead, so that its latest calls are no longer replaced. */
  isHomeDead = false;

  private readonly options: TakeoverWatchOptions;

  private onNewTerm: (() => Promise<void>) | undefined;

  private readonly joins = new Map<string, JoinRequest>();

  private readonly appends = new Map<number, AppendRequest>();

  private readonly renewals = new Map<string, LeaseRenewal>();

  /**
   * Begins to watch.
   * @param options - What to watch, and where to note it.
   */
  constructor(options: TakeoverWatchOptions) {
    this.options = options;
    this.watchGroups();
    this.watchLog();
    this.watchTargets();
  }

  /**
   * Gets the latest renewal of a membership.
   * @param instance - Id of the instance.
   * @returns The request.
   */
  getJoin(instance: string): JoinRequest {
    return this.joins.get(instance)!;
  }

  /**
   * Gets the latest append of the earlier home to a partition.
   * @param partition - Number of the partition.
   * @returns The request.
   */
  getAppend(partition: number): AppendRequest {
    return this.appends.get(partition)!;
  }

  /**
   * Gets the latest renewal of a lease by the earlier home.
   * @param targetId - Id of the target.
   * @returns The request.
   */
  getRenewal(targetId: string): LeaseRenewal {
    return this.renewals.get(targetId)!;
  }

  /**
   * Lets something happen before the first append of a later term arrives at a partition of jobs.
   * @param run - What happens.
   */
  beforeNewTerm(run: () => Promise<void>): void {
    this.onNewTerm = run;
  }

  private watchGroups(): void {
    const { cluster, trace, partitions } = this.options;
    const { store } = cluster;
    const join = store.join.bind(store);
    vi.spyOn(store, 'join').mockImplementation(async (request) => {
      this.joins.set(parseMember(request.member)!.address.instance, request);
      trace.note('join');
      const share = await join(request);
      if (partitions.some((partition) => share.partitions.includes(partition))) trace.note('share');
      return share;
    });
  }

  private watchLog(): void {
    const { cluster, trace, jobsTopic } = this.options;
    const { store } = cluster;
    const readNewest = store.readNewest.bind(store);
    vi.spyOn(store, 'readNewest').mockImplementation(async (...page) => {
      if (page[0] === jobsTopic) trace.note(`page of ${page[1]}`);
      return readNewest(...page);
    });
    const append = store.append.bind(store);
    vi.spyOn(store, 'append').mockImplementation(async (request) => {
      if (request.topic === jobsTopic) await this.handleAppend(request);
      return append(request);
    });
  }

  private async handleAppend(request: AppendRequest): Promise<void> {
    const { partition, fence } = request;
    if (!this.isHomeDead) {
      if (fence !== undefined) this.appends.set(partition, request);
      return;
    }
    this.options.trace.note(`append to ${partition}`);
    const { onNewTerm } = this;
    const lastTerm = this.appends.get(partition)?.fence?.term ?? Infinity;
    if (fence === undefined || fence.term <= lastTerm) return;
    this.onNewTerm = undefined;
    await onNewTerm?.();
  }

  private watchTargets(): void {
    const { cluster, trace } = this.options;
    const { targets } = cluster;
    const renew = targets.renew.bind(targets);
    vi.spyOn(targets, 'renew').mockImplementation(async (target, renewal) => {
      trace.note(renewal.leaseUntilTargetMs === undefined ? 'probe' : 'renewal');
      if (!this.isHomeDead) this.renewals.set(target.targetId, renewal);
      return renew(target, renewal);
    });
  }
}
