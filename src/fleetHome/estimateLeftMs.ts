import type { WaveRecord } from './WaveRecord.js';

/** Longest time between the last record of a running wave and a takeover, in milliseconds. */
const MAX_GAP_MS = 30_000;

/**
 * Estimates the time that a wave has left as another home takes it over.
 *
 * Guards against a wave that is rushed, or left for later, as the clocks of two homes are 40
 * minutes apart: the time of day counts only where it shows a plausible time since the record. What
 * was left at the record is never too short.
 * @param record - What the earlier home stored last.
 * @param nowMs - Wall-clock time here, in milliseconds since the Unix epoch.
 * @returns The time in milliseconds.
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
