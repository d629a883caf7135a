import type { DurableJobRow } from '../jobs/index.js';
import { estimateStartByMs } from './estimateStartByMs.js';
import type { RunTimes } from './RunTimes.js';

/** Time until a slow run shows by a report and its task is started elsewhere, in milliseconds. */
const PROBE_COST_MS = 1_500;

/**
 * Tells whether a job bears a run on a target that may still be slow, which shows its pace: it has
 * time for a second start of the task, or is late whatever happens.
 * @param row - The job.
 * @param runTimes - Learned run times.
 * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
 * @returns Whether one of its tasks may show how the target runs.
 */
export function mayRunProbe(row: DurableJobRow, runTimes: RunTimes, nowMs: number): boolean {
  const spareMs = estimateStartByMs(row, runTimes) - nowMs;
  return spareMs < 0 || spareMs >= PROBE_COST_MS;
}
