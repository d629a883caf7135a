import { setTimeout as sleep } from 'node:timers/promises';
import { type EventLog, OutageLog } from '../logging/index.js';
import { HeldLease } from '../membership/index.js';
import type { GroupPort } from '../store/index.js';
import { AdaptiveTimeout, type Clock, waitUntil } from '../utils/index.js';

/** Timing by which the group of homes detects failed members. */
export interface GroupTiming {
  /** Time without a renewal after which a member loses its partitions, in milliseconds. */
  readonly ttlMs: number;
  /** Interval between renewals of a membership, in milliseconds. */
  readonly renewEveryMs: number;
  /** Shortest and longest wait for the answer to a renewal, in milliseconds. */
  readonly shortestWaitMs: number;
  readonly longestWaitMs: number;
}

/** Options of {@link GroupMembership}. */
export interface GroupMembershipOptions {
  readonly groups: GroupPort;
  readonly group: string;
  readonly topic: string;
  /** Name of this member, which contains its address. */
  readonly member: string;
  readonly groupTiming: GroupTiming;
  /** How long after a confirmed renewal a member extends leases of targets, in milliseconds. */
  readonly leaseExtensionMs: number;
  /** Longest time to live that a renewal asks for since answers are delayed, in milliseconds. */
  readonly longestTtlMs: number;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Whether this instance should hold partitions, given whether it is a member now. */
  readonly shouldHold: (isMember: boolean) => boolean;
  /**
   * Gets how long an answer may wait behind other answers to this instance, in milliseconds; a
   * renewal asks for a longer time to live by as much. On a narrow link, a page of records takes as
   * long as a membership lasts, and the partition would go to others while it is being read.
   */
  readonly getAnswerDelayMs: () => number;
  /** Called after each renewal, which may have added or removed partitions. */
  readonly onRenewed: () => void;
  /** Called when this member gives up all partitions, before it leaves the group. */
  readonly onLeaving: (reason: string) => void;
}

/** Pause before an early renewal, in milliseconds: a few round trips to the group. */
const EARLY_RENEWAL_PAUSE_MS = 60;
/** Time for which a renewal counts as just sent, in milliseconds: twice the usual interval. */
const FRESH_FOR_MS = 800;
const FRESHNESS_CHECK_MS = 5;
/** Margin by which this member's own lease is shorter than the time to live, for clock drift. */
const LEASE_MARGIN_MS = 200;

/** Membership of this instance in the group that assigns partitions, and the lease on its share. */
export class GroupMembership {
  private readonly options: GroupMembershipOptions;

  private readonly lease: HeldLease;

  private readonly renewTimeout: AdaptiveTimeout;

  private readonly outage: OutageLog;

  private share: ReadonlySet<number> = new Set();

  private generation = 0;

  /** When the latest renewal was sent that allows for delayed answers, by the monotonic clock. */
  private allowedDelaysAtMs = Number.NEGATIVE_INFINITY;

  private isStopped = false;

  private isMember = false;

  /**
   * Creates a membership, which joins the group only when it is started.
   * @param options - Group, timing and callbacks.
   */
  constructor(options: GroupMembershipOptions) {
    this.options = options;
    const { clock, events, groupTiming } = options;
    const { shortestWaitMs: shortestMs, longestWaitMs: longestMs } = groupTiming;
    this.renewTimeout = new AdaptiveTimeout({ shortestMs, longestMs });
    this.outage = new OutageLog({ events, lost: 'groupUnreachable', regained: 'groupReachable' });
    const { ttlMs: leaseMs, renewEveryMs } = groupTiming;
    const timing = { leaseMs, renewEveryMs, marginMs: LEASE_MARGIN_MS, contenderStepMs: 0 };
    this.lease = new HeldLease({ clock, timing });
  }

  /** Joins the group, and renews the membership until it is stopped. */
  start(): void {
    void this.runRenewals();
  }

  /** Stops renewals and leaves the group, so that other members take over at once. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.leave('stopping');
  }

  /**
   * Tells whether a partition is in this member's share.
   * @param partition - The partition.
   * @returns Whether the last renewal assigned the partition to this member.
   */
  holds(partition: number): boolean {
    return this.share.has(partition);
  }

  /**
   * Tells whether the share certainly has not been assigned to other members.
   * @returns Whether the lease on the share holds at this moment.
   */
  isLeaseHeld(): boolean {
    return this.lease.isHeld();
  }

  /**
   * Tells whether this member may still extend leases of targets, which do no harm for some time
   * after the share was assigned to others.
   * @returns Whether the group has confirmed the membership recently.
   */
  mayExtendLeases(): boolean {
    return this.getConfirmationAgeMs() < this.options.leaseExtensionMs - LEASE_MARGIN_MS;
  }

  /**
   * Tells how long the group has not confirmed this member. Nothing that happened to the share
   * since then is known here.
   * @returns Time since the latest confirmed renewal was sent, in milliseconds.
   */
  getConfirmationAgeMs(): number {
    return this.lease.getAgeMs();
  }

  /**
   * Waits until the membership has just been renewed in a way that allows for delayed answers.
   * @param maxMs - Longest wait, in milliseconds.
   */
  async whenFresh(maxMs: number): Promise<void> {
    const { clock } = this.options;
    const isFresh = (): boolean => clock.monotonicMs() < this.allowedDelaysAtMs + FRESH_FOR_MS;
    const deadlineMs = clock.monotonicMs() + maxMs;
    await waitUntil(isFresh, { clock, deadlineMs, checkEveryMs: FRESHNESS_CHECK_MS });
  }

  private async runRenewals(): Promise<void> {
    while (!this.isStopped) {
      const { generation } = this;
      const startedAtMs = this.options.clock.monotonicMs();
      // eslint-disable-next-line no-await-in-loop -- one renewal follows the other
      const isAnswered = await this.renewOrLeave();
      // A partition is reassigned only once its holder has joined with the new generation, and its
      // next holder learns of this by joining again; until then the partition has no home.
      const hasNewGeneration = generation !== this.generation;
      const pauseMs = isAnswered
        ? this.options.groupTiming.renewEveryMs
        : this.getPauseAfterFailureMs(startedAtMs);
      // eslint-disable-next-line no-await-in-loop -- the pause belongs between two renewals
      await sleep(hasNewGeneration ? EARLY_RENEWAL_PAUSE_MS : pauseMs);
    }
  }

  /**
   * Computes the pause after a failed renewal: the usual pause less the time already waited for the
   * answer. With the whole pause, two late answers would take up most of the membership's time to
   * live, and the share would go to others. A renewal that is rejected at once is followed by the
   * usual pause.
   */
  private getPauseAfterFailureMs(startedAtMs: number): number {
    const { clock, groupTiming } = this.options;
    const waitedMs = clock.monotonicMs() - startedAtMs;
    return Math.max(EARLY_RENEWAL_PAUSE_MS, groupTiming.renewEveryMs - waitedMs);
  }

  /**
   * Renews the membership, or leaves the group if others should hold the partitions.
   * @returns Whether the group answered; true if no renewal was attempted.
   */
  private async renewOrLeave(): Promise<boolean> {
    if (this.options.shouldHold(this.isMember)) {
      this.isMember = true;
      return this.renew();
    }
    if (this.isMember) {
      this.isMember = false;
      await this.leave('left-to-larger');
    }
    return true;
  }

  private async leave(reason: string): Promise<void> {
    this.share = new Set();
    const { groups, group, member, events, onLeaving } = this.options;
    onLeaving(reason);
    await groups.leave(group, member).catch((thrown: unknown) => {
      events.write('groupUnreachable', { group, member, reason: String(thrown) });
    });
  }

  private async renew(): Promise<boolean> {
    const { groups, group, member, topic, groupTiming, longestTtlMs, clock } = this.options;
    const sentAt = this.lease.readClocks();
    const { generation } = this;
    const sentAtMs = clock.monotonicMs();
    const delayMs = this.options.getAnswerDelayMs();
    const delayedTtlMs = Math.min(groupTiming.ttlMs + delayMs, longestTtlMs);
    const ttlMs = Math.max(groupTiming.ttlMs, delayedTtlMs);
    const request = { group, member, topic, generation, ttlMs };
    try {
      const share = await this.renewTimeout.run(clock, (timeoutMs) =>
        groups.join({ ...request, timeoutMs: timeoutMs + delayMs }),
      );
      if (this.isStopped) return true;
      this.lease.extend(sentAt);
      if (delayMs > 0) this.allowedDelaysAtMs = sentAtMs;
      this.outage.noteSuccess({ group, member, generation });
      this.generation = share.generation;
      this.share = new Set(share.partitions);
      this.options.onRenewed();
      return true;
    } catch (thrown) {
      this.outage.noteFailure({ group, member, reason: String(thrown) });
      return false;
    }
  }
}
