import { type DurableJobRow, isLongRunning } from '../jobs/index.js';

/** Age of a pool's newest job at a takeover above which the two clocks differ, in ms. */
const MAX_NEWEST_AGE_MS = 60_000;

function withSubmissionTime(row: DurableJobRow, submittedAtMs: number): DurableJobRow {
  return { ...row, spec: { ...row.spec, submittedAtMs } };
}

/**
 * Adjusts the submission times of jobs to the wall clock of the home that takes them over.
 *
 * The clocks of two homes may differ by 40 minutes. Without the adjustment, jobs from the previous
 * home look overdue and are placed last, or look not yet due for long and hold back every later
 * job. Submission times in the future are set to now. If even the newest job looks a minute old,
 * the times are shifted so that it counts as just submitted and the differences in age stay.
 * @param rows - The unfinished jobs.
 * @param nowMs - Wall-clock time of the new home, in milliseconds since the Unix epoch.
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
    return alignedMs === submittedAtMs ? row : withSubmissionTime(row, alignedMs);
  });
}
