import { beforeEach, describe, expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import type { KeyedRecord } from '../../src/store/index.js';
import { decodeLapseRecord, encodeLapseRecord } from '../../src/taskHome/LapseRecord.js';
import { LeaseLapses } from '../../src/taskHome/LeaseLapses.js';
import type { TargetSession } from '../../src/taskHome/TargetSession.js';
import { ManualClock } from '../../src/utils/index.js';

const LEASE_MS = 5_000;
/** The longest grant of an earlier home after its latest confirmation, by the slowest clock. */
const LONGEST_MS = (1.15 * LEASE_MS) / 0.98;
/** Margin after a lease, in milliseconds. */
const MARGIN_MS = 300;
const TERM = 7;
/** Time between two records, in milliseconds. */
const INTERVAL_MS = 500;
/** Time that a new home gives a target to answer, in milliseconds. */
const FIRST_ANSWER_MS = 500;
const RECORDED_ANSWER_MS = 200;
/** Reading of the clock of the home before; clocks of two homes cannot be compared. */
const EARLIER_CLOCK_MS = 1_000_000;

/** A write that waits for its end. */
interface OpenWrite {
  readonly record: KeyedRecord;
  readonly store: () => Promise<void>;
}

/** The session with a target that has runs; undefined if this home can't find the target. */
type UsedTarget =
  Pick<TargetSession, 'answeredAtMs' | 'isReachable' | 'latestLapseAtMs'> | undefined;

const UNKNOWN: UsedTarget = undefined;

describe('LeaseLapses', () => {
  let clock: ManualClock;
  let writes: OpenWrite[];
  let used: Map<string, UsedTarget>;
  let lapsed: string[];
  let isStalled: boolean;
  let mayExtendLeases: boolean;
  let lapses: LeaseLapses;

  beforeEach(() => {
    clock = new ManualClock();
    writes = [];
    used = new Map();
    lapsed = [];
    isStalled = false;
    mayExtendLeases = true;
    lapses = new LeaseLapses({
      ...{ term: TERM, clock, partition: 0, events: new MemoryEventLog() },
      mayExtendLeases: () => mayExtendLeases,
      timing: { targetLeaseMs: LEASE_MS },
      table: { listUsedTargets: () => new Set(used.keys()) },
      writer: {
        get isStalled() {
          return isStalled;
        },
        write: ([record]) =>
          new Promise((resolve) => {
            const store = async (): Promise<void> => resolve();
            writes.push({ record: record!, store });
          }),
      },
      getSessions: () => ({
        getSession: (targetId) => used.get(targetId) as TargetSession | undefined,
      }),
      onLapsed: (targetId) => lapsed.push(targetId),
    });
  });

  function decodeWrite(index: number): unknown {
    return decodeLapseRecord(writes[index]!.record);
  }

  function restore(term: number, remainingMs: number): void {
    const lapsedByMs = EARLIER_CLOCK_MS + remainingMs;
    const record = {
      term,
      recordedAtMs: EARLIER_CLOCK_MS,
      lapses: [{ targetId: 't1', lapsedByMs }],
    };
    lapses.restore([encodeLapseRecord(record)]);
  }

  it('waits the longest grant by the slowest clock for a target of which nothing is recorded', () => {
    used.set('t1', UNKNOWN);
    clock.advance(LONGEST_MS + MARGIN_MS);
    lapses.check();
    expect(lapsed).toEqual([]);
    clock.advance(1);
    lapses.check();
    expect(lapsed).toEqual(['t1']);
  });

  // Guards against tasks that run nowhere while each of several homes waits a whole lease anew.
  it('waits only for what is left of a lease that the home before no longer extended', () => {
    restore(TERM - 1, 490);
    expect(lapses.getInheritedLapseAtMs('t1')).toBeCloseTo(500);
    expect(lapses.getInheritedLapseAtMs('t2')).toBeCloseTo(LONGEST_MS);
    used.set('t1', UNKNOWN).set('t2', UNKNOWN);
    clock.advance(500 + MARGIN_MS + 1);
    lapses.check();
    expect(lapsed).toEqual(['t1']);
  });

  // Guards against a task that runs twice: a home in between has extended the lease since.
  it.each([TERM - 2, TERM])('takes nothing over that was recorded in term %i', (term) => {
    restore(term, 490);
    expect(lapses.getInheritedLapseAtMs('t1')).toBeCloseTo(LONGEST_MS);
  });

  it('records by when the leases of silent targets have ended, again and again', async () => {
    clock.advance(FIRST_ANSWER_MS);
    used.set('t1', UNKNOWN);
    used.set('t2', { answeredAtMs: undefined, isReachable: false, latestLapseAtMs: 4_000 });
    lapses.check();
    expect(decodeWrite(0)).toEqual({
      term: TERM,
      recordedAtMs: FIRST_ANSWER_MS,
      lapses: [
        { targetId: 't1', lapsedByMs: LONGEST_MS },
        { targetId: 't2', lapsedByMs: 4_000 },
      ],
    });
    await writes[0]!.store();
    clock.advance(INTERVAL_MS - 1);
    lapses.check();
    expect(writes).toHaveLength(1);
    clock.advance(1);
    lapses.check();
    expect(decodeWrite(1)).toMatchObject({ recordedAtMs: FIRST_ANSWER_MS + INTERVAL_MS });
  });

  it('records nothing of targets that answer, or have just been silent for a moment', async () => {
    used.set('t1', { answeredAtMs: 0, isReachable: true, latestLapseAtMs: LEASE_MS });
    used.set('t2', { answeredAtMs: 0, isReachable: false, latestLapseAtMs: 0.6 * LEASE_MS + 1 });
    used.set('t3', { answeredAtMs: undefined, isReachable: false, latestLapseAtMs: LONGEST_MS });
    lapses.check();
    expect(writes).toEqual([]);
    clock.advance(1);
    lapses.check();
    expect(decodeWrite(0)).toMatchObject({ lapses: [{ targetId: 't2' }] });
    clock.advance(FIRST_ANSWER_MS);
    await writes[0]!.store();
    lapses.check();
    expect(decodeWrite(1)).toMatchObject({ lapses: [{ targetId: 't2' }, { targetId: 't3' }] });
  });

  // Guards against a task that stays down: a home that lives for a moment passes nothing on.
  it('records soon what is left of a lease that the home before has recorded', () => {
    restore(TERM - 1, 490);
    used.set('t1', { answeredAtMs: undefined, isReachable: false, latestLapseAtMs: 500 });
    used.set('t2', { answeredAtMs: undefined, isReachable: false, latestLapseAtMs: LONGEST_MS });
    lapses.check();
    expect(lapses.mayExtend('t1')).toBe(true);
    clock.advance(RECORDED_ANSWER_MS);
    lapses.check();
    expect(decodeWrite(0)).toMatchObject({ lapses: [{ targetId: 't1', lapsedByMs: 500 }] });
    expect(lapses.mayExtend('t1')).toBe(false);
  });

  // Guards against a task that runs twice: the next home takes a recorded lease for lapsed.
  it('lets a recorded lease be extended only once a record without it is stored', async () => {
    clock.advance(FIRST_ANSWER_MS);
    used.set('t1', { answeredAtMs: undefined, isReachable: false, latestLapseAtMs: 4_000 });
    lapses.check();
    expect(lapses.mayExtend('t1')).toBe(false);
    used.set('t1', { answeredAtMs: 0, isReachable: true, latestLapseAtMs: LEASE_MS });
    lapses.check();
    expect(writes).toHaveLength(1);
    await writes[0]!.store();
    lapses.check();
    expect(writes[1]!.record.value).toBeUndefined();
    expect(lapses.mayExtend('t1')).toBe(false);
    await writes[1]!.store();
    expect(lapses.mayExtend('t1')).toBe(true);
    expect(lapses.mayExtend('t2')).toBe(true);
    mayExtendLeases = false;
    expect(lapses.mayExtend('t2')).toBe(false);
  });

  // Guards against a target that is of no use, as the store does not answer: nothing runs there.
  it('lets a recorded lease be extended that no run needs, and no task be placed there', () => {
    used.set('t1', UNKNOWN);
    lapses.check();
    used.delete('t1');
    expect(lapses.mayExtend('t1')).toBe(true);
    expect(lapses.isRecorded('t1')).toBe(true);
  });

  // Guards against a target that was heard in time and yet loses its tasks.
  it('releases the lease of a target that answers as soon as the record is stored', async () => {
    clock.advance(FIRST_ANSWER_MS);
    used.set('t1', { answeredAtMs: undefined, isReachable: false, latestLapseAtMs: 4_000 });
    lapses.check();
    used.set('t1', { answeredAtMs: 0, isReachable: true, latestLapseAtMs: LEASE_MS });
    const released = lapses.release('t1');
    await writes[0]!.store();
    await vi.waitFor(() => expect(writes).toHaveLength(2));
    await writes[1]!.store();
    await released;
    expect(lapses.mayExtend('t1')).toBe(true);
  });

  // Guards against a next home that waits anew, as the lapse is forgotten before the runs are.
  it('keeps the lapse of a target in the record after its runs were given up', async () => {
    used.set('t1', UNKNOWN);
    lapses.check();
    await writes[0]!.store();
    clock.advance(LONGEST_MS + MARGIN_MS + 1);
    used.delete('t1');
    lapses.check();
    expect(decodeWrite(1)).toMatchObject({ lapses: [{ targetId: 't1' }] });
    await writes[1]!.store();
    clock.advance(LEASE_MS);
    lapses.check();
    expect(writes[2]!.record.value).toBeUndefined();
  });

  it('records nothing while the store does not answer', () => {
    isStalled = true;
    used.set('t1', UNKNOWN);
    lapses.check();
    expect(writes).toEqual([]);
  });
});
