import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import type { LeaseAnswer, LeaseRenewal } from '../../src/targets/index.js';
import { TargetSession } from '../../src/taskHome/TargetSession.js';
import { ManualClock } from '../../src/utils/index.js';

const LEASE_MS = 5_000;
/** Reading of the target's clock when that of the home reads zero. */
const TARGET_AHEAD_MS = 1_000;
const INHERITED_LAPSE_AT_MS = 3_456;

/** A renewal that waits for its answer. */
interface OpenRenewal {
  readonly renewal: LeaseRenewal;
  readonly answer: (answer: LeaseAnswer) => void;
}

describe('TargetSession', () => {
  let clock: ManualClock;
  let renewals: OpenRenewal[];
  let session: TargetSession;
  let mayExtendLease: boolean;
  let confirmationAgeMs: number;

  /** Answers the latest renewal with a report that was made at a time of the home's clock. */
  const answer = async (madeAtMs: number): Promise<LeaseRenewal> => {
    const count = renewals.length;
    renewals.at(-1)!.answer({
      type: 'report',
      targetClockMs: TARGET_AHEAD_MS + madeAtMs,
      running: [],
      ended: [],
      hasAllEnds: true,
    });
    await vi.waitFor(() => expect(renewals).toHaveLength(count + 1));
    return renewals.at(-1)!.renewal;
  };

  beforeEach(() => {
    clock = new ManualClock();
    renewals = [];
    mayExtendLease = true;
    confirmationAgeMs = 0;
    session = new TargetSession({
      port: {
        renew: (_target, renewal) =>
          new Promise((resolve) => {
            renewals.push({ renewal, answer: resolve });
          }),
      },
      address: { targetId: 't1', host: '10.0.0.1', port: 80 },
      term: 1,
      leaseMs: LEASE_MS,
      getWaitMs: () => 0,
      mayExtendLease: () => mayExtendLease,
      getConfirmationAgeMs: () => confirmationAgeMs,
      getInheritedLapseAtMs: () => INHERITED_LAPSE_AT_MS,
      clock,
      events: new MemoryEventLog(),
      onReport: async () => undefined,
      onEnd: () => undefined,
    });
    session.start();
  });

  afterEach(() => session.close());

  // Guards against a run that goes on beside the next home's, under a lease of a replaced one.
  it.each([
    [0, LEASE_MS],
    [0.15 * LEASE_MS, LEASE_MS],
    [0.15 * LEASE_MS + 100, LEASE_MS - 100],
    [0.4 * LEASE_MS, 0.75 * LEASE_MS],
  ])('grants, %i ms after the confirmation, a lease of %i ms', async (ageMs, grantMs) => {
    confirmationAgeMs = ageMs;
    const { leaseUntilTargetMs } = await answer(0);
    expect(leaseUntilTargetMs).toBe(TARGET_AHEAD_MS + grantMs);
  });

  // Guards against a lapse that is seen too early: the home before may have granted a whole lease.
  it('counts a lease that an earlier home may have granted until the first answer', async () => {
    confirmationAgeMs = 0.4 * LEASE_MS;
    await answer(0);
    expect(session.latestLapseAtMs - clock.monotonicMs()).toBeCloseTo(LEASE_MS / 0.98);
  });

  it('asks for a whole lease, counted on the clock of the target', async () => {
    expect(renewals[0]!.renewal.leaseUntilTargetMs).toBeUndefined();
    const { leaseUntilTargetMs } = await answer(0);
    expect(leaseUntilTargetMs).toBe(TARGET_AHEAD_MS + LEASE_MS);
  });

  // Guards against leases that lapse after a home was paused: each was shorter by that time.
  it('asks for a whole lease after it has read an answer late', async () => {
    await answer(0);
    clock.advance(2_600);
    const { leaseUntilTargetMs } = await answer(100);
    expect(leaseUntilTargetMs).toBe(TARGET_AHEAD_MS + 0.98 * 2_600 + LEASE_MS);
  });

  // Guards against a task that runs twice: the lease must not count as lapsed before it is.
  it('counts the lease as lapsed once the slowest clock of a target has reached its end', async () => {
    await answer(0);
    expect(session.latestLapseAtMs).toBe(LEASE_MS / 0.98);
    clock.advance(2_600);
    await answer(100);
    expect(session.latestLapseAtMs).toBeCloseTo(2_600 + LEASE_MS / 0.98, 6);
  });

  it('follows a target whose clock is slow', async () => {
    await answer(0);
    clock.advance(10_000);
    const { leaseUntilTargetMs } = await answer(9_800);
    expect(leaseUntilTargetMs).toBe(TARGET_AHEAD_MS + 9_800 + LEASE_MS);
  });

  it('takes the lease of an earlier home for lapsed when that one has left it to', async () => {
    expect(session.latestLapseAtMs).toBe(INHERITED_LAPSE_AT_MS);
    await answer(0);
    expect(session.latestLapseAtMs).toBe(LEASE_MS / 0.98);
  });

  // Guards against a task that runs twice: the next home takes a recorded lease for lapsed.
  it('extends no lease, by a renewal or a start, that may not be extended', async () => {
    await answer(0);
    mayExtendLease = false;
    clock.advance(1_000);
    expect(session.extendLease()).toBe(TARGET_AHEAD_MS + LEASE_MS);
    const { leaseUntilTargetMs } = await answer(1_000);
    expect(leaseUntilTargetMs).toBeUndefined();
    expect(session.latestLapseAtMs).toBeLessThanOrEqual(1_000 + (LEASE_MS - 1_000) / 0.98);
  });

  // Guards against a task that runs twice: the target runs on under the lease of an earlier home.
  it('waits for the lease of an earlier home while it has extended none itself', async () => {
    mayExtendLease = false;
    await answer(0);
    expect(session.latestLapseAtMs).toBeGreaterThanOrEqual(INHERITED_LAPSE_AT_MS);
  });

  // Guards against a task that runs twice: the next home counts with leases of their usual length.
  it('asks for little more than a lease of a target whose clock is slow', async () => {
    await answer(0);
    const askedMs: number[] = [];
    for (let timeMs = 1_000; timeMs <= 50_000; timeMs += 1_000) {
      clock.advance(1_000);
      const shownMs = Math.floor(timeMs * 0.98);
      // eslint-disable-next-line no-await-in-loop -- one renewal follows the other
      const { leaseUntilTargetMs } = await answer(shownMs - 1);
      askedMs.push(leaseUntilTargetMs! - TARGET_AHEAD_MS - shownMs);
    }
    expect(Math.max(...askedMs)).toBeLessThanOrEqual(LEASE_MS + 300);
  });
});
