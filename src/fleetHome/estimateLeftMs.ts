import type { WaveRecord } from './WaveRecord.js';

/** Maximum time between the last record of a running wave and a takeover, in milliseconds. */
const MAX_GAP_MS = 30_000;

/**
 * Estimates the time until the deadline of a wave that this home takes over.
 *
 * The clocks of two homes may be 40 minutes apart, which would rush or delay the wave. The wall
 * clock is therefore used only if it gives a plausible time since the record. Otherwise the result
 * is the time left when the record was written, which is never too short.
 * @param record - The latest record of the earlier home.
 * @param nowMs - Wall-clock time of this home, in milliseconds since the Unix epoch.
 * @returns The time left, in milliseconds.
 */
export function estimateLeftMs(
  { deadlineAtMs, leftMs }: Pick<WaveRecord, 'deadlineAtMs' | 'leftMs'>,
  nowMs: number,
): number {
  const byClocksMs = deadlineAtMs - nowMs;
  if (leftMs === undefined) return byClocksMs;
  const sinceRecordMs = leftMs - byClocksMs;
  return sinceRecordMs >= 0 && sinceRecordMs <= MAX_GAP_MS ? byClocksMs : leftMs;
}
