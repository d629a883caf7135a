import { setTimeout as sleep } from 'node:timers/promises';
import { type EventLog, OutageLog } from '../logging/index.js';
import { HeldLease } from '../membership/index.js';
import type { GroupPort } from '../store/index.js';
import { AdaptiveTimeout, type Clock } from '../utils/index.js';

/** How the members of the group of homes tell each other from dead ones. */
export interface GroupTiming {
  /** Silence after which a member loses its partitions, in milliseconds. */
  readonly ttlMs: number;
  /** How often a membership is renewed, in milliseconds. */
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
  /** Name of this member, from which others read its address. */
  readonly member: string;
  readonly groupTiming: GroupTiming;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Whether this instance is to hold partitions, given whether it does now. */
  readonly shouldHold: (isMember: boolean) => boolean;
  /** Called after each renewal, which may have given or taken partitions. */
  readonly onRenewed: () => void;
  /** Called where this member gives all partitions up, before it tells the group. */
  readonly onLeaving: (reason: string) => void;
}

/** Pause before a renewal that cannot wait for the next, in milliseconds: a few answers. */
const SHORT_PAUSE_MS = 60;
/** Taken off the time to live where this member judges itself, against clocks that run apart. */
const LEASE_MARGIN_MS = 200;

/** This instance's place in the group that shares partitions out, and its lease on its share. */
export class GroupMembership {
  private readonly options: GroupMembershipOptions;

  private readonly lease: HeldLease;

  private readonly renewTimeout: AdaptiveTimeout;

  private readonly outage: OutageLog;

  private share: ReadonlySet<number> = new Set();

  private generation = 0;

  private isStopped = false;

  private isMember = false;

  /**
   * Prepares a membership; nothing is joined before the start.
   * @param options - Group, timing and who hears of changes.
   */
  constructor(options: GroupMembershipOptions) {
    this.options = options;
    const { clock, events, groupTiming } = options;
    const { shortestWaitMs: shortestMs, longestWaitMs: longestMs } = groupTiming;
    this.renewTimeout = new AdaptiveTimeout({ shortestMs, longestMs });
    this.outage = new OutageLog({ events, lost: 'groupUnreachable', regained: 'groupReachable' });
    this.lease = new HeldLease({
      clock,
      timing: {
        leaseMs: groupTiming.ttlMs,
        renewEveryMs: groupTiming.renewEveryMs,
        marginMs: LEASE_MARGIN_MS,
        contenderStepMs: 0,
      },
    });
  }

  /** Joins the group, and renews the membership until it is stopped. */
  start(): void {
    void this.renewAll();
  }

  /** Leaves the group for good, so that others take over at once. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.leave('stopping');
  }

  /**
   * Tells whether a partition is in this member's share.
   * @param partition - The partition.
   * @returns Whether this member is to be its home, by the last renewal.
   */
  holds(partition: number): boolean {
    return this.share.has(partition);
  }

  /**
   * Tells whether nobody else can have been given the share by now.
   * @returns Whether the lease on the share holds at this moment.
   */
  isCertain(): boolean {
    return this.lease.isHeld();
  }

  private async renewAll(): Promise<void> {
    while (!this.isStopped) {
      const { generation } = this;
      const begunAtMs = this.options.clock.monotonicMs();
      // eslint-disable-next-line no-await-in-loop -- one renewal follows the other
      const isAnswered = await this.takePart();
      // A partition changes hands only once its holder has joined with the new generation, and its
      // next holder learns of it by joining again; until then it has no home.
      const isChanging = generation !== this.generation;
      const pauseMs = isAnswered
        ? this.options.groupTiming.renewEveryMs
        : this.getPauseAfterLossMs(begunAtMs);
      // eslint-disable-next-line no-await-in-loop -- the pause belongs between two renewals
      await sleep(isChanging ? SHORT_PAUSE_MS : pauseMs);
    }
  }

  /**
   * Guards against a member whose share goes to others for two answers that came late: a wait and a
   * whole pause for each of them take most of the time that its membership lasts. One that is
   * turned away at once waits as long as usual.
   */
  private getPauseAfterLossMs(begunAtMs: number): number {
    const { clock, groupTiming } = this.options;
    const waitedMs = clock.monotonicMs() - begunAtMs;
    return Math.max(SHORT_PAUSE_MS, groupTiming.renewEveryMs - waitedMs);
  }

  /**
   * Stays in the group, or out of it where others are to hold the partitions.
   * @returns Whether the group has answered a renewal, if there was one.
   */
  private async takePart(): Promise<boolean> {
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
    const { groups, group, member, topic, groupTiming, clock, onRenewed } = this.options;
    const sentAt = this.lease.readClocks();
    const { generation } = this;
    const { ttlMs } = groupTiming;
    try {
      const share = await this.renewTimeout.run(clock, (timeoutMs) =>
        groups.join({ group, member, topic, ttlMs, timeoutMs, generation }),
      );
      if (this.isStopped) return true;
      this.lease.extend(sentAt);
      this.outage.noteSuccess({ group, member, generation });
      this.generation = share.generation;
      this.share = new Set(share.partitions);
      onRenewed();
      return true;
    } catch (thrown) {
      this.outage.noteFailure({ group, member, reason: String(thrown) });
      return false;
    }
  }
}
