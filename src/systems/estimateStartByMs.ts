import type { DurableJobRow } from '../jobs/index.js';
import type { RunTimes } from './RunTimes.js';

/**
 * Estimates the latest time at which the rest of a job can start and still meet the objective.
 * @param row - The job.
 * @param runTimes - Learned run times.
 * @returns Wall-clock time in milliseconds since the Unix epoch.
 */
export function estimateStartByMs(row: DurableJobRow, runTimes: RunTimes): number {
  const { submittedAtMs, terms } = row.spec;
  const wholeMs = runTimes.estimateChainMs(row);
  const objectiveAtMs = submittedAtMs + terms.stretch * wholeMs + terms.targetDurationMs;
  return objectiveAtMs - runTimes.estimateRemainingMs(row);
}
