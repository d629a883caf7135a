import { expect, it } from 'vitest';
import {
  countArrivals,
  type LoadPeak,
  MAX_WAIT_MS,
  PASS_MS,
  type PeaksWorld,
  playPeaks,
  RUN_MS,
} from './support/PeaksWorld.js';

const DAY_MS = 14_000;
const STANDBY_COUNT = 24;
const VM_COUNT = STANDBY_COUNT + 6;

/** Three pools whose peaks overlap. They need 40 VMs of 30. */
const PEAKS: readonly LoadPeak[] = [
  { pool: 'pages', priority: 1, fromMs: 1_000, toMs: 8_000, jobCounts: [12] },
  { pool: 'media', priority: 0, fromMs: 1_000, toMs: 8_000, jobCounts: [4] },
  { pool: 'search', priority: 1, fromMs: 1_500, toMs: 8_000, jobCounts: [4] },
];
const PASSES_MS = Array.from({ length: DAY_MS / PASS_MS }, (_none, index) => index * PASS_MS);

function play(sharesShortages: boolean): PeaksWorld {
  const options = { peaks: PEAKS, standbyCount: STANDBY_COUNT, sharesShortages } as const;
  return playPeaks({ ...options, idlePolicy: 'never' }, DAY_MS);
}

const countJobs = (peak: LoadPeak): number =>
  PASSES_MS.reduce((sum, nowMs) => sum + countArrivals(peak, nowMs), 0);

const countInTime = ({ inTime }: PeaksWorld): number =>
  [...inTime.values()].reduce((sum, count) => sum + count, 0);

/**
 * Counts the jobs that run in time if each VM may run jobs of any pool, without moves: no plan runs
 * more. The jobs take equally long, and get the VMs that are free first in the order of arrival.
 */
function countAtBest(): number {
  const freeAtMs = Array.from({ length: VM_COUNT }, () => 0);
  const arrivalsMs = PASSES_MS.flatMap((nowMs) =>
    PEAKS.flatMap((peak) => Array.from({ length: countArrivals(peak, nowMs) }, () => nowMs)),
  );
  return arrivalsMs.filter((atMs) => {
    const first = freeAtMs.indexOf(Math.min(...freeAtMs));
    const startMs = Math.max(atMs, freeAtMs[first]!);
    if (startMs - atMs > MAX_WAIT_MS) return false;
    freeAtMs[first] = startMs + RUN_MS;
    return true;
  }).length;
}

// Failure: pools that are short at the same time get nothing while the largest shortage is served.
it('serves the highest priority of three overlapping peaks, and starves none of the others', () => {
  const shared = play(true);
  const largestFirst = play(false);
  expect(shared.inTime.get('media')!).toBe(countJobs(PEAKS[1]!));
  expect(shared.inTime.get('search')!).toBeGreaterThan(largestFirst.inTime.get('search')!);
  expect(countInTime(shared)).toBeGreaterThan(countInTime(largestFirst));
  expect(countInTime(shared) / countAtBest()).toBeGreaterThan(0.8);
  process.stdout.write(
    `peaks ${JSON.stringify([[...shared.inTime], [...largestFirst.inTime], countAtBest(), PEAKS.map(countJobs)])}\n`,
  );
});
