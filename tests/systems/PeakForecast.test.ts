import { describe, expect, it } from 'vitest';
import { AutocorrelationForecast } from './support/AutocorrelationForecast.js';
import { ForecastUnderTest } from './support/ForecastUnderTest.js';
import {
  createTurns,
  type PeakPlayResult,
  type PlayedPeak,
  playPeaks,
} from './support/playPeaks.js';

const POOLS = ['p1', 'p2', 'p3', 'p4'];
const SEEDS = Array.from({ length: 10 }, (_, index) => 101 + index);
const INTERVAL_MS = 9_000;
const TURN_COUNT = 12;
/** Turns of a day of one round and a bit. */
const SHORT_TURN_COUNT = 5;
const STEADY_MS = 200_000;
/** Time that one expectation may keep VMs in vain: an order ahead, and a spread on each side. */
const ONE_EXPECTATION_MS = 11_000;

const makeTurns = (seed: number, turnCount = TURN_COUNT): readonly PlayedPeak[] =>
  createTurns({ pools: POOLS, turnCount, intervalMs: INTERVAL_MS, variationShare: 0.2, seed });

/** Time half an interval after the last of some turns, in milliseconds. */
const getEndMs = (turnCount: number): number => 8_000 + INTERVAL_MS * (turnCount - 0.5);

function play(
  seed: number,
  peaks: readonly PlayedPeak[],
  endsAtMs = getEndMs(TURN_COUNT),
  calmFactor = 1,
): PeakPlayResult {
  const forecast = new ForecastUnderTest(POOLS);
  return playPeaks(forecast, { seed, pools: POOLS, peaks, endsAtMs, calmFactor });
}

function playAll(
  createPeaks: (seed: number) => readonly PlayedPeak[],
  endsAtMs?: number,
  calmFactor?: number,
): readonly PeakPlayResult[] {
  return SEEDS.map((seed) => play(seed, createPeaks(seed), endsAtMs, calmFactor));
}

function countForeseen(results: readonly PeakPlayResult[], from = 0): number {
  return results.flatMap(({ foreseen }) => foreseen.slice(from)).filter(Boolean).length;
}

/** Counts the foreseen peaks of each round of four. */
function countForeseenByRound(results: readonly PeakPlayResult[]): readonly number[] {
  return [0, 4, 8].map(
    (from) =>
      results.flatMap(({ foreseen }) => foreseen.slice(from, from + 4)).filter(Boolean).length,
  );
}

function getMeanInVainMs(results: readonly PeakPlayResult[]): number {
  const sumMs = results.reduce((sum, { keptInVainMs }) => sum + keptInVainMs, 0);
  return sumMs / results.length;
}

const getLongestInVain = (results: readonly PeakPlayResult[]): number =>
  Math.max(...results.map(({ longestInVainMs }) => longestInVainMs));

/** Postpones a turn and all later ones by an interval. */
const postpone = (peaks: readonly PlayedPeak[], from: number): readonly PlayedPeak[] =>
  peaks.map((peak, index) =>
    index < from ? peak : { ...peak, startsAtMs: peak.startsAtMs + INTERVAL_MS },
  );

describe('PeakForecast of four pools that peak by turns', () => {
  it('expects nearly all peaks from the third one of a short day', () => {
    const results = playAll((seed) => makeTurns(seed, SHORT_TURN_COUNT), getEndMs(5));
    expect(countForeseen(results, 2)).toBeGreaterThanOrEqual(28);
    expect(results.map(({ foreseen }) => foreseen.slice(0, 2)).flat()).not.toContain(true);
  });

  it('expects the peaks of three rounds, and keeps VMs in vain for one expectation at most', () => {
    const results = playAll((seed) => makeTurns(seed));
    expect(countForeseen(results, 2)).toBeGreaterThanOrEqual(98);
    expect(getLongestInVain(results)).toBeLessThan(ONE_EXPECTATION_MS);
  });

  it('expects peaks two rounds earlier than the autocorrelation of each pool', () => {
    const results = playAll((seed) => makeTurns(seed));
    const others = SEEDS.map((seed) =>
      playPeaks(new AutocorrelationForecast(), {
        seed,
        pools: POOLS,
        peaks: makeTurns(seed),
        endsAtMs: getEndMs(TURN_COUNT),
      }),
    );
    expect(countForeseenByRound(results)).toEqual([20, 40, 40]);
    expect(countForeseenByRound(others)).toEqual([0, 0, 28]);
    expect(getMeanInVainMs(results)).toBeLessThan(28_000);
    expect(getMeanInVainMs(others)).toBeLessThan(6_000);
  });

  it('splits the confidence among the pools that may have the next turn', () => {
    const forecast = new ForecastUnderTest(POOLS);
    const peaks = makeTurns(101, 3);
    const options = { seed: 101, pools: POOLS, peaks };
    playPeaks(forecast, { ...options, endsAtMs: peaks[1]!.startsAtMs + 3_000 });
    const second = forecast.listExpectedPeaks(0).map(({ pool, confidence }) => [pool, confidence]);
    expect(second).toEqual([
      ['p3', 0.5],
      ['p4', 0.5],
    ]);
    const later = new ForecastUnderTest(POOLS);
    playPeaks(later, { ...options, endsAtMs: peaks[2]!.startsAtMs + 6_000 });
    expect(later.listExpectedPeaks(0)).toMatchObject([{ pool: 'p4', confidence: 1 }]);
  });

  it('expects the height and the end of a peak by those of earlier rounds', () => {
    const forecast = new ForecastUnderTest(POOLS);
    const peaks = makeTurns(101, 7);
    const endsAtMs = peaks[6]!.startsAtMs + 6_000;
    playPeaks(forecast, { seed: 101, pools: POOLS, peaks, endsAtMs });
    const [peak] = forecast.listExpectedPeaks(endsAtMs);
    expect(peak).toMatchObject({ pool: 'p4', vmCount: 70 });
    expect(peak!.endsAtMs - peak!.startsAtMs).toBeGreaterThan(INTERVAL_MS);
  });
});

describe('PeakForecast of a pool without an earlier peak', () => {
  // Guards against a height that the next home estimates by a peak that it has not seen begin.
  it('expects the height by the growth of a peak that an earlier home has seen', () => {
    const peaks = makeTurns(101, 3);
    const first = new ForecastUnderTest(POOLS);
    const homes = [first];
    const atMs = peaks[1]!.startsAtMs + 4_000;
    const endsAtMs = atMs + 2_000;
    const create = (): ForecastUnderTest => {
      homes.push(first.createNext(first.forecast.state));
      return homes[1]!;
    };
    playPeaks(first, { seed: 101, pools: POOLS, peaks, endsAtMs, takeover: { atMs, create } });
    const [known, peak] = homes.map((home) => home.listExpectedPeaks(endsAtMs)[0]!);
    expect(peak).toMatchObject({ pool: 'p3' });
    expect(Math.abs(peak!.vmCount - known!.vmCount)).toBeLessThan(5);
    expect(peak!.vmCount).toBeGreaterThan(60);
  });
});

describe('PeakForecast of a rhythm that breaks', () => {
  it('goes on after a turn that is left out', () => {
    const results = playAll((seed) => makeTurns(seed).filter((_, index) => index !== 6));
    expect(countForeseen(results, 7)).toBeGreaterThanOrEqual(36);
    expect(getLongestInVain(results)).toBeLessThan(2 * ONE_EXPECTATION_MS);
  });

  it('goes on after a turn that comes twice as late', () => {
    const results = playAll((seed) => postpone(makeTurns(seed), 6), getEndMs(TURN_COUNT + 1));
    expect(countForeseen(results, 7)).toBeGreaterThanOrEqual(48);
    expect(getLongestInVain(results)).toBeLessThan(2 * ONE_EXPECTATION_MS);
  });

  it('goes on after a burst in a pool that has no turn', () => {
    const results = playAll((seed) => {
      const turns = makeTurns(seed);
      const startsAtMs = turns[5]!.startsAtMs + 4_000;
      return [...turns, { pool: 'p4', startsAtMs, lengthMs: 3_000 }];
    });
    const turns = results.map(({ foreseen, ...rest }) => ({
      ...rest,
      foreseen: foreseen.slice(0, -1),
    }));
    expect(countForeseen(turns, 6)).toBeGreaterThanOrEqual(57);
    expect(getLongestInVain(results)).toBeLessThan(ONE_EXPECTATION_MS);
  });

  it('learns another order of the pools', () => {
    const order = ['p1', 'p2', 'p4', 'p3'];
    const rounds = 5;
    const results = playAll(
      (seed) =>
        makeTurns(seed, 4 * rounds).map((peak, index) => ({
          ...peak,
          pool: (index < 4 ? POOLS : order)[index % 4]!,
        })),
      getEndMs(4 * rounds),
    );
    expect(countForeseen(results, 12)).toBeGreaterThanOrEqual(72);
  });

  // Guards against VMs that are kept for a pool without end, once its peaks have ended.
  it('expects nothing after the last turn has been missed twice', () => {
    SEEDS.forEach((seed) => {
      const forecast = new ForecastUnderTest(POOLS);
      const endsAtMs = getEndMs(30);
      playPeaks(forecast, { seed, pools: POOLS, peaks: makeTurns(seed, 6), endsAtMs });
      expect(forecast.listExpectedPeaks(endsAtMs)).toEqual([]);
    });
    const results = playAll((seed) => makeTurns(seed, 6), getEndMs(30));
    expect(getLongestInVain(results)).toBeLessThan(2 * ONE_EXPECTATION_MS);
  });
});

describe('PeakForecast of other loads', () => {
  it('expects the peaks of one pool from the fourth one of a period', () => {
    const results = playAll(
      (seed) =>
        Array.from({ length: 6 }, (_, index) => ({
          pool: 'p1',
          startsAtMs: 8_000 + 60_000 * index + (((seed * 7 + index * 3) % 5) - 2) * 500,
          lengthMs: 8_000,
        })),
      8_000 + 60_000 * 5.5,
    );
    expect(countForeseen(results, 3)).toBeGreaterThanOrEqual(25);
    expect(getLongestInVain(results)).toBeLessThan(ONE_EXPECTATION_MS);
  });

  it.each([1, 20, 50])('expects nothing under steady load (factor %d)', (calmFactor) => {
    const results = playAll(() => [], STEADY_MS, calmFactor);
    expect(results.map(({ keptInVainMs }) => keptInVainMs)).toEqual(SEEDS.map(() => 0));
  });

  it('expects nothing after a single burst', () => {
    const results = playAll((seed) => makeTurns(seed, 1), STEADY_MS);
    expect(results.map(({ keptInVainMs }) => keptInVainMs)).toEqual(SEEDS.map(() => 0));
  });

  it('expects a third burst once after bursts in two pools', () => {
    const results = playAll((seed) => makeTurns(seed, 2), STEADY_MS);
    expect(getLongestInVain(results)).toBeLessThan(12_000);
    const keptMs = results.map(({ keptInVainMs }) => keptInVainMs);
    expect(Math.max(...keptMs)).toBeLessThan(12_000);
  });

  it('expects nothing of bursts at random times in random pools for long', () => {
    const results = playAll(
      (seed) =>
        makeTurns(seed, 10).map((peak, index) => ({
          pool: POOLS[(seed * 7 + index * index * 5) % 4]!,
          startsAtMs: 8_000 + 20_000 * index + ((seed * 37 + index * index * 53) % 17) * 1_000,
          lengthMs: 6_000,
        })),
      STEADY_MS,
    );
    const keptMs = results.map(({ keptInVainMs }) => keptInVainMs);
    expect(Math.max(...keptMs)).toBeLessThan(STEADY_MS / 4);
  });
});
