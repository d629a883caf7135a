import type { PeakForecastState, PeakRhythmState } from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { PeakForecastRecord, PeakRhythmRecord } from './PeakForecastRecord.js';

/** Number of intervals for which the latest beginning tells when the next one is due. */
const MAX_AGE_INTERVALS = 3;
/** Longest age of the latest beginning that begins an interval, in milliseconds. */
const MAX_AGE_MS = 30_000;

/**
 * Restores a rhythm. The wall clocks of two homes may differ by 40 minutes, so the time of the
 * latest beginning counts only if it is as long ago as in a rhythm that goes on.
 */
function restoreRhythm(record: PeakRhythmRecord, clock: Clock): PeakRhythmState {
  const { intervalsMs, errorsMs, outcomes, lastBeganAtMs } = record;
  const learned = { intervalsMs, errorsMs, outcomes };
  if (lastBeganAtMs === undefined) return learned;
  const ageMs = clock.wallMs() - lastBeganAtMs;
  const maxAgeMs = Math.max(MAX_AGE_MS, Math.max(0, ...intervalsMs) * MAX_AGE_INTERVALS);
  if (ageMs < 0 || ageMs > maxAgeMs) return learned;
  return { ...learned, lastBeganAtMs: clock.monotonicMs() - ageMs };
}

/** Replaces the monotonic time of a rhythm by that of the wall clock, for the next home. */
function toRhythmRecord(state: PeakRhythmState, clock: Clock): PeakRhythmRecord {
  const { lastBeganAtMs, ...learned } = state;
  const rhythm = {
    intervalsMs: [...learned.intervalsMs],
    errorsMs: [...learned.errorsMs],
    outcomes: [...learned.outcomes],
  };
  if (lastBeganAtMs === undefined) return rhythm;
  const ageMs = clock.monotonicMs() - lastBeganAtMs;
  return { ...rhythm, lastBeganAtMs: clock.wallMs() - ageMs };
}

/**
 * Restores what earlier homes have learned about peaks that recur.
 * @param records - Their records.
 * @param clock - Clock of this home.
 * @returns The knowledge, with monotonic times of this process.
 */
export function restorePeakForecast(
  records: readonly PeakForecastRecord[],
  clock: Clock,
): PeakForecastState {
  const turns = records.find((record) => record.type === 'turns');
  const patterns = records
    .filter((record) => record.type === 'pool')
    .map((record) => ({ ...record, rhythm: restoreRhythm(record.rhythm, clock) }));
  if (turns === undefined) return { patterns };
  return { patterns, turns: { ...turns, rhythm: restoreRhythm(turns.rhythm, clock) } };
}

/**
 * Lists the records of what was learned.
 * @param state - The knowledge, with monotonic times of this process.
 * @param clock - Clock of this home.
 * @returns One record of the turns, and one for each pool.
 */
export function listPeakForecastRecords(
  { turns, patterns }: PeakForecastState,
  clock: Clock,
): readonly PeakForecastRecord[] {
  const pools = patterns.map((pattern) => ({
    ...pattern,
    type: 'pool' as const,
    rhythm: toRhythmRecord(pattern.rhythm, clock),
  }));
  if (turns === undefined) return pools;
  const turnPools = [...turns.turnPools];
  const successors = Object.fromEntries(
    Object.entries(turns.successors).map(([pool, turn]) => [pool, { ...turn }]),
  );
  const rhythm = toRhythmRecord(turns.rhythm, clock);
  return [{ type: 'turns', rhythm, turnPools, successors }, ...pools];
}
