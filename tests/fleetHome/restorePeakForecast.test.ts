import { describe, expect, it } from 'vitest';
import {
  decodePeakForecastRecord,
  encodePeakForecastRecord,
} from '../../src/fleetHome/PeakForecastRecord.js';
import {
  listPeakForecastRecords,
  restorePeakForecast,
} from '../../src/fleetHome/restorePeakForecast.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { encodeRecordValue, type KeyedRecord } from '../../src/store/index.js';
import type { PeakForecastState } from '../../src/systems/index.js';
import { decodeReadable } from '../../src/taskHome/decodeReadable.js';
import { ManualClock } from '../../src/utils/index.js';
import { ForecastUnderTest } from '../systems/support/ForecastUnderTest.js';
import { createTurns, type PeakPlayResult, playPeaks } from '../systems/support/playPeaks.js';

const POOLS = ['p1', 'p2', 'p3', 'p4'];
const SEEDS = Array.from({ length: 10 }, (_, index) => 101 + index);
const INTERVAL_MS = 9_000;
const JUMP_MS = 40 * 60_000;

/** Writes the state of a home as records, and reads them as the next home. */
function handOver(state: PeakForecastState, nowMs: number, jumpMs: number): PeakForecastState {
  const clock = new ManualClock(nowMs);
  const records = listPeakForecastRecords(state, clock).map(encodePeakForecastRecord);
  clock.jump(jumpMs);
  const read = records.map((record) => decodePeakForecastRecord(record)!);
  return restorePeakForecast(read, clock);
}

interface Takeover {
  readonly turnCount: number;
  /** The turn during which the home is replaced. */
  readonly duringTurn: number;
  readonly jumpMs: number;
}

function playTakeover(seed: number, { turnCount, duringTurn, jumpMs }: Takeover): PeakPlayResult {
  const turns = { pools: POOLS, turnCount, intervalMs: INTERVAL_MS, variationShare: 0.2, seed };
  const peaks = createTurns(turns);
  const first = new ForecastUnderTest(POOLS);
  const atMs = peaks[duringTurn]!.startsAtMs + 4_000;
  const create = (): ForecastUnderTest =>
    first.createNext(handOver(first.forecast.state, atMs, jumpMs));
  const endsAtMs = peaks.at(-1)!.startsAtMs + 4_000;
  return playPeaks(first, { seed, pools: POOLS, peaks, endsAtMs, takeover: { atMs, create } });
}

/** Counts over all seeds how often a turn was foreseen. */
function countForeseen(takeover: Takeover, turn: number): number {
  return SEEDS.filter((seed) => playTakeover(seed, takeover).foreseen[turn]).length;
}

describe('A forecast of peaks that the next home of the fleet goes on with', () => {
  it('expects the next turn after a takeover in the middle of the first round', () => {
    const takeover = { turnCount: 6, duringTurn: 1, jumpMs: 0 };
    expect(countForeseen(takeover, 2)).toBeGreaterThanOrEqual(9);
    expect(countForeseen(takeover, 3)).toBeGreaterThanOrEqual(9);
  });

  // Guards against peaks that are expected 40 minutes early or late by a wall clock that differs.
  it.each([JUMP_MS, -JUMP_MS])('knows the order but no time after a jump by %d ms', (jumpMs) => {
    const takeover = { turnCount: 10, duringTurn: 5, jumpMs };
    expect(countForeseen(takeover, 6)).toBe(0);
    expect(countForeseen(takeover, 7)).toBeGreaterThanOrEqual(9);
    expect(countForeseen(takeover, 8)).toBeGreaterThanOrEqual(9);
  });

  // Guards against a phase that is wrong by less than an interval, and that no check can tell.
  it('keeps VMs in vain for a bounded time where the clocks differ by 4 s', () => {
    const takeover = { turnCount: 10, duringTurn: 5, jumpMs: 4_000 };
    const results = SEEDS.map((seed) => playTakeover(seed, takeover));
    expect(Math.max(...results.map(({ longestInVainMs }) => longestInVainMs))).toBeLessThan(22_000);
    expect(countForeseen(takeover, 8)).toBeGreaterThanOrEqual(8);
  });
});

describe('Records of the forecast of peaks', () => {
  const source = { partition: 3, events: new MemoryEventLog() };

  it.each([
    ['of another form', { type: 'turns', rhythm: 'weekly' }],
    ['of a type that a later version writes', { type: 'season', pool: 'p1' }],
  ])('cost nothing but the knowledge if they are %s', (_name, value) => {
    const record = { key: 'peak-forecast/turns', value: encodeRecordValue(value) };
    const records = decodeReadable([record], decodePeakForecastRecord, source);
    expect(records).toEqual([]);
    expect(source.events.events.at(-1)?.event).toBe('recordUnreadable');
    expect(restorePeakForecast(records, new ManualClock(1_000))).toEqual({ patterns: [] });
  });

  it('are none of the other records of the partition', () => {
    const other: KeyedRecord = { key: 'pool-peak/p1', value: encodeRecordValue({ pool: 'p1' }) };
    expect(decodePeakForecastRecord(other)).toBeUndefined();
  });

  it('keep a pool apart from the turns, whatever its name', () => {
    const rhythm = { intervalsMs: [], errorsMs: [], outcomes: [] };
    const { key } = encodePeakForecastRecord({ type: 'pool', pool: 'turns', rhythm });
    expect(key).not.toBe('peak-forecast/turns');
  });
});
