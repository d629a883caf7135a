import type { ExpectedPeak } from './ExpectedPeak.js';
import { VM_LEAD_MS } from './leadTimes.js';
import { MIN_RESERVE_COUNT } from './PoolBalance.js';

/**
 * Time before which a pool needs no reserve for its next peak, in milliseconds: its reserve is
 * restored in two moves, one away and one back, long before.
 */
const FAR_MS = 8_000;
/** Confidence from which a pool gives up part of its reserve until its next turn. */
const SURE_CONFIDENCE = 0.75;
/**
 * Share of an expected peak that gets its VMs ahead. The load rises while the VMs are on their way
 * that are ordered once it is seen, and needs half of the peak's height on average until then.
 */
const AHEAD_SHARE = 0.5;
/** Share of its reserve that a pool keeps whose next peak is far away. */
const FAR_RESERVE_SHARE = 0.5;

/**
 * Computes the VMs that pools get ahead of expected peaks: as many as their beginnings need and the
 * confidence supports. They are ordered from the time at which a VM arrives at the start of the
 * peak.
 * @param peaks - Expected peaks.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns Number of VMs by pool, without pools that expect no peak soon.
 */
export function getExpectedCounts(
  peaks: readonly ExpectedPeak[],
  nowMs: number,
): ReadonlyMap<string, number> {
  return peaks
    .filter(({ startsAtMs, endsAtMs }) => nowMs >= startsAtMs - VM_LEAD_MS && nowMs < endsAtMs)
    .reduce((counts, { pool, vmCount, confidence }) => {
      const count = Math.floor(confidence * vmCount * AHEAD_SHARE);
      return counts.set(pool, Math.max(count, counts.get(pool) ?? 0));
    }, new Map<string, number>());
}

/** Scales the reserve of a pool by the time and the confidence of its next peak. */
function adjustReserve(
  reserveCount: number,
  { startsAtMs, vmCount, confidence }: ExpectedPeak,
  nowMs: number,
): number {
  const leftMs = startsAtMs - nowMs;
  if (leftMs > FAR_MS && confidence >= SURE_CONFIDENCE) {
    return Math.max(MIN_RESERVE_COUNT, Math.ceil(reserveCount * FAR_RESERVE_SHARE));
  }
  if (leftMs > FAR_MS) return reserveCount;
  const raisedCount = Math.min(vmCount, reserveCount * (1 + confidence));
  return Math.max(reserveCount, Math.floor(raisedCount));
}

/**
 * Adjusts the reserves of pools to their next expected peaks: a pool that is likely to have the
 * next turn keeps more, one whose turn comes back late keeps less. Pools without an expected peak
 * keep their reserve.
 * @param reserveCounts - Reserves by the pools' past peaks.
 * @param peaks - Expected peaks.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns The reserves by pool.
 */
export function adjustReserves(
  reserveCounts: ReadonlyMap<string, number>,
  peaks: readonly ExpectedPeak[],
  nowMs: number,
): ReadonlyMap<string, number> {
  const getNext = (pool: string): ExpectedPeak | undefined =>
    peaks
      .filter((peak) => peak.pool === pool && peak.endsAtMs > nowMs)
      .toSorted((a, b) => a.startsAtMs - b.startsAtMs)[0];
  return new Map(
    [...reserveCounts].map(([pool, count]) => {
      const next = getNext(pool);
      return [pool, next === undefined ? count : adjustReserve(count, next, nowMs)];
    }),
  );
}
