import { beforeEach, describe, expect, it } from 'vitest';
import { PeakTurns } from '../../src/systems/PeakTurns.js';
import type { SeenPeak } from '../../src/systems/SeenPeak.js';

const POOLS = ['p1', 'p2', 'p3', 'p4'];

const makePeak = (pool: string, beganAtMs: number, isBeginSeen = true): SeenPeak => ({
  pool,
  beganAtMs,
  isBeginSeen,
  vmCount: 70,
  formerVmCount: 50,
});

describe('PeakTurns', () => {
  let turns: PeakTurns;

  beforeEach(() => {
    turns = new PeakTurns();
  });

  const record = (pool: string, beganAtMs: number, isBeginSeen?: boolean): unknown =>
    turns.record(makePeak(pool, beganAtMs, isBeginSeen), POOLS);

  // Guards against a record with a negative interval, which no home could read.
  it('counts peaks that begin together as no turns, whichever is seen first', () => {
    record('p1', 10_000);
    record('p2', 9_900);
    expect(turns.state.successors).toEqual({});
    expect(turns.state.rhythm.intervalsMs).toEqual([]);
    expect(turns.getNext(POOLS)).toBeUndefined();
  });

  it('takes a peak that was found in progress as the turn that is due', () => {
    record('p1', 10_000);
    record('p2', 19_000);
    expect(record('p3', 30_000, false)).toBe('onTime');
    expect(turns.getNext(POOLS)).toMatchObject({ pools: ['p4'], atMs: 37_000 });
  });

  // Guards against a next turn that is expected an interval late after a takeover.
  it('takes no peak that was found in progress as a turn that is not due', () => {
    record('p1', 10_000);
    record('p2', 19_000);
    expect(record('p3', 21_000, false)).toBe('unexpected');
    expect(turns.getNext(POOLS)).toMatchObject({ pools: ['p3', 'p4'], atMs: 28_000 });
  });

  it('expects no turn before two pools have had one', () => {
    record('p1', 10_000);
    record('p1', 40_000);
    record('p1', 70_000);
    expect(turns.getNext(POOLS)).toBeUndefined();
  });

  it('expects the next turn after the interval that the same pools had before', () => {
    ['p1', 'p2', 'p3', 'p4', 'p1'].reduce((atMs, pool) => {
      record(pool, atMs);
      return atMs + (pool === 'p1' ? 8_000 : 9_000);
    }, 10_000);
    expect(turns.getNext(POOLS)).toMatchObject({ pools: ['p2'], atMs: 53_000, confidence: 1 });
  });
});
