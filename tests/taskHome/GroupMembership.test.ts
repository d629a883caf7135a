import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import type { GroupPort, GroupAssignment, JoinRequest } from '../../src/store/index.js';
import {
  GroupMembership,
  type GroupMembershipOptions,
} from '../../src/taskHome/GroupMembership.js';
import { ManualClock, SystemClock } from '../../src/utils/index.js';

/** Timing as daemons use it. */
const REAL_TIMING = { ttlMs: 1_500, renewEveryMs: 400, shortestWaitMs: 300, longestWaitMs: 1_000 };
const EXTENSION_MS = 1_800;
const GROUP_TIMING = { ttlMs: 1_000, renewEveryMs: 10, shortestWaitMs: 100, longestWaitMs: 200 };

/** A group that assigns the same share to the only member of a test. */
class FakeGroups implements GroupPort {
  share: GroupAssignment = { generation: 1, partitions: [0, 2] };

  /** Calls to the group and reasons of `onLeaving`, in order. */
  readonly calls: string[] = [];

  private readonly pendingAnswers: (() => void)[] = [];

  /** Whether answers are held back until they are released. */
  holdsAnswers = false;

  /** The latest request to join. */
  lastRequest: JoinRequest | undefined;

  async join(request: JoinRequest): Promise<GroupAssignment> {
    this.lastRequest = request;
    this.calls.push('join');
    if (this.holdsAnswers) {
      await new Promise<void>((resolve) => {
        this.pendingAnswers.push(resolve);
      });
    }
    return this.share;
  }

  leave(): Promise<void> {
    this.calls.push('leave');
    return Promise.resolve();
  }

  listOwners(): Promise<readonly []> {
    this.calls.push('listOwners');
    return Promise.resolve([]);
  }

  releaseAnswers(): void {
    this.pendingAnswers.forEach((resolve) => resolve());
  }
}

describe('GroupMembership', () => {
  let groups: FakeGroups;
  let shouldHold: boolean;
  let renewedCount: number;
  let membership: GroupMembership;

  const createMember = (changes: Partial<GroupMembershipOptions>): GroupMembership =>
    new GroupMembership({
      groups,
      group: 'homes',
      topic: 'jobs',
      member: 'm1',
      groupTiming: GROUP_TIMING,
      leaseExtensionMs: EXTENSION_MS,
      longestTtlMs: Infinity,
      clock: new SystemClock(),
      events: new MemoryEventLog(),
      shouldHold: () => true,
      getAnswerDelayMs: () => 0,
      onRenewed: () => undefined,
      onLeaving: () => undefined,
      ...changes,
    });

  beforeEach(() => {
    groups = new FakeGroups();
    shouldHold = true;
    renewedCount = 0;
    membership = createMember({
      shouldHold: () => shouldHold,
      onRenewed: () => {
        renewedCount += 1;
      },
      onLeaving: (reason) => groups.calls.push(`leaving: ${reason}`),
    });
  });

  afterEach(async () => {
    await membership.stop();
  });

  it('holds the partitions that the group gives it, and is certain of them by its lease', async () => {
    expect(membership.isLeaseHeld()).toBe(false);
    membership.start();
    await vi.waitFor(() => expect(renewedCount).toBeGreaterThan(0));
    expect([0, 1, 2].filter((partition) => membership.holds(partition))).toEqual([0, 2]);
    expect(membership.isLeaseHeld()).toBe(true);
  });

  it('leaves once where others are to hold the partitions, and joins none meanwhile', async () => {
    membership.start();
    await vi.waitFor(() => expect(renewedCount).toBeGreaterThan(0));
    shouldHold = false;
    await vi.waitFor(() => expect(groups.calls).toContain('leave'));
    const callCount = groups.calls.length;
    await new Promise((resolve) => {
      setTimeout(resolve, 5 * GROUP_TIMING.renewEveryMs);
    });
    expect(groups.calls).toHaveLength(callCount);
    expect(groups.calls.slice(-2)).toEqual(['leaving: left-to-larger', 'leave']);
    expect(membership.holds(0)).toBe(false);
  });

  it('gives its homes up before it tells the group that it leaves', async () => {
    membership.start();
    await vi.waitFor(() => expect(renewedCount).toBeGreaterThan(0));
    await membership.stop();
    expect(groups.calls.slice(-2)).toEqual(['leaving: stopping', 'leave']);
  });

  it('takes no share from an answer that comes after it was stopped', async () => {
    groups.holdsAnswers = true;
    membership.start();
    await vi.waitFor(() => expect(groups.calls).toEqual(['join']));
    await membership.stop();
    groups.releaseAnswers();
    await new Promise((resolve) => {
      setTimeout(resolve, GROUP_TIMING.renewEveryMs);
    });
    expect(renewedCount).toBe(0);
    expect(membership.holds(0)).toBe(false);
  });

  // Guards against a busy home that loses its partition under normal conditions: one answer to its
  // renewals is lost, the next takes long, and the pause between them is as long as usual.
  it('keeps its share where one answer is lost and the next one comes late', async () => {
    const answersMs = [0, 0, Infinity, 350];
    const member = createMember({
      groups: {
        join: async ({ timeoutMs }) => {
          const answerMs = answersMs.shift() ?? 0;
          await sleep(Math.min(answerMs, timeoutMs));
          if (answerMs > timeoutMs) throw new Error('There was no answer.');
          return { generation: 1, partitions: [0] };
        },
        leave: () => Promise.resolve(),
        listOwners: () => Promise.resolve([]),
      },
      groupTiming: REAL_TIMING,
    });
    const certain: boolean[] = [];
    member.start();
    await sleep(50);
    const watch = setInterval(() => certain.push(member.isLeaseHeld()), 20);
    await sleep(2 * REAL_TIMING.ttlMs);
    clearInterval(watch);
    await member.stop();
    expect(answersMs).toEqual([]);
    expect(certain).not.toContain(false);
  });

  // Guards against members that repeat a rejected renewal without a pause and load the store.
  it('waits as usual where a renewal is turned away at once', async () => {
    const join = vi.fn(() => Promise.reject(new Error('The store turns this one away.')));
    const member = createMember({
      groups: { join, leave: () => Promise.resolve(), listOwners: () => Promise.resolve([]) },
      groupTiming: REAL_TIMING,
    });
    member.start();
    await sleep(2.5 * REAL_TIMING.renewEveryMs);
    await member.stop();
    expect(join.mock.calls.length).toBeLessThanOrEqual(3);
  });

  // Guards against a task that runs twice under a replaced home that the store does not answer.
  it.each([0, 700])(
    'lets leases of targets be extended for a while without the group (answers %i ms late)',
    async (delayMs) => {
      const clock = new ManualClock();
      const member = createMember({ clock, getAnswerDelayMs: () => delayMs });
      expect(member.mayExtendLeases()).toBe(false);
      member.start();
      await vi.waitFor(() => expect(member.isLeaseHeld()).toBe(true));
      groups.holdsAnswers = true;
      clock.advance(GROUP_TIMING.ttlMs);
      expect(member.isLeaseHeld()).toBe(false);
      expect(member.mayExtendLeases()).toBe(true);
      clock.advance(EXTENSION_MS - GROUP_TIMING.ttlMs);
      expect(member.mayExtendLeases()).toBe(false);
      await member.stop();
    },
  );

  // Guards against partitions that change hands while pages of them delay the group's answers.
  it('asks for a longer time to live while its answers may be delayed', async () => {
    const member = createMember({ getAnswerDelayMs: () => 700 });
    member.start();
    await vi.waitFor(() => expect(groups.lastRequest?.ttlMs).toBe(GROUP_TIMING.ttlMs + 700));
    expect(groups.lastRequest!.timeoutMs).toBeGreaterThanOrEqual(700);
    await member.stop();
  });

  // Guards against tasks that lapse: the next home would come after the end of their leases.
  it('asks for no longer a time to live than leases bear, but for the usual one', async () => {
    const createDelayed = (longestTtlMs: number): GroupMembership =>
      createMember({ longestTtlMs, getAnswerDelayMs: () => 700 });
    const longestTtlMs = GROUP_TIMING.ttlMs + 300;
    const members = [createDelayed(longestTtlMs), createDelayed(1)];
    members[0]!.start();
    await vi.waitFor(() => expect(groups.lastRequest?.ttlMs).toBe(longestTtlMs));
    await members[0]!.stop();
    members[1]!.start();
    await vi.waitFor(() => expect(groups.lastRequest?.ttlMs).toBe(GROUP_TIMING.ttlMs));
    await members[1]!.stop();
  });

  // Guards against a task that runs twice: what is granted must end with the confirmation.
  it('counts the age of its confirmation from the sending of the renewal', async () => {
    const clock = new ManualClock();
    const member = createMember({ clock });
    expect(member.getConfirmationAgeMs()).toBe(Infinity);
    groups.holdsAnswers = true;
    member.start();
    await vi.waitFor(() => expect(groups.calls).toContain('join'));
    clock.advance(70);
    groups.releaseAnswers();
    await vi.waitFor(() => expect(member.getConfirmationAgeMs()).toBe(70));
    clock.advance(30);
    expect(member.getConfirmationAgeMs()).toBe(100);
    await member.stop();
  });

  // Guards against a task that runs twice: a page of records delayed answers until a moment ago.
  it('counts the time to live from the latest renewal, also after one that asked for more', async () => {
    const clock = new ManualClock();
    let delayMs = 4_000;
    const member = createMember({ clock, getAnswerDelayMs: () => delayMs });
    member.start();
    await vi.waitFor(() => expect(member.isLeaseHeld()).toBe(true));
    delayMs = 0;
    await vi.waitFor(() => expect(groups.lastRequest?.ttlMs).toBe(GROUP_TIMING.ttlMs));
    groups.holdsAnswers = true;
    clock.advance(EXTENSION_MS);
    expect(member.mayExtendLeases()).toBe(false);
    await member.stop();
  });
});
