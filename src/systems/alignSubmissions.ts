import { type DurableJobRow, isLongRunning } from '../jobs/index.js';

/** Age of the newest job of a pool at a takeover from which two clocks disagree, in ms. */
const MAX_NEWEST_AGE_MS = 60_000;

function submitAt(row: DurableJobRow, submittedAtMs: number): DurableJobRow {
  return { ...row, spec: { ...row.spec, submittedAtMs } };
}

/**
 * Aligns the times at which jobs were submitted with the clock of the home that takes them over.
 *
 * Guards against jobs that are served last, or hold back all that come later: the time of day of
 * two homes may be 40 minutes apart, so that the jobs of one look late to the other, or not yet due
 * for long. Nothing is submitted later than now. Where even the newest job looks a minute old, it
 * counts as just submitted, and the others as older by as much as they were.
 * @param rows - The jobs that are not over.
 * @param nowMs - Wall-clock time here, in milliseconds since the Unix epoch.
 * @returns The jobs, in the same order.
 */
export function alignSubmissions(
  rows: readonly DurableJobRow[],
  nowMs: number,
): readonly DurableJobRow[] {
  const times = rows
    .filter((row) => !isLongRunning(row))
    .map(({ spec }) => Math.min(nowMs, spec.submittedAtMs));
  const newestAgeMs = nowMs - Math.max(...times);
  const shiftMs = times.length > 0 && newestAgeMs > MAX_NEWEST_AGE_MS ? newestAgeMs : 0;
  return rows.map((row) => {
    const { submittedAtMs } = row.spec;
    const alignedMs = Math.min(nowMs, submittedAtMs + (isLongRunning(row) ? 0 : shiftMs));
    return alignedMs === submittedAtMs ? row : submitAt(row, alignedMs);
  });
}
