import { type DurableJobRow, isFinished } from '../jobs/index.js';

function isLongRunning({ spec }: DurableJobRow): boolean {
  return spec.steps.some((step) => step.isLongRunning);
}

/** Length of the longest chain of steps by the caller's guesses, in milliseconds. */
function estimateChainMs({ spec }: DurableJobRow): number {
  const endsMs = spec.steps.reduce<readonly number[]>((ends, step) => {
    const startMs = Math.max(0, ...step.afterSteps.map((before) => ends[before] ?? 0));
    return [...ends, startMs + step.estimatedRunMs];
  }, []);
  return Math.max(0, ...endsMs);
}

/**
 * Computes when a job has to be done to meet its objective, by the caller's guesses.
 * @param row - The job.
 * @returns The time in milliseconds since the Unix epoch.
 */
export function getObjectiveAtMs(row: DurableJobRow): number {
  const { submittedAtMs, terms } = row.spec;
  return submittedAtMs + terms.stretch * estimateChainMs(row) + terms.targetDurationMs;
}

/**
 * Orders jobs for placement: long-running services first, since each second without them costs,
 * then by priority, then the earliest objective.
 * @param jobs - The jobs.
 * @returns The unfinished ones in their order.
 */
export function orderJobs(jobs: readonly DurableJobRow[]): readonly DurableJobRow[] {
  return jobs
    .filter((row) => !isFinished(row))
    .map((row) => ({
      row,
      rank: isLongRunning(row) ? -1 : row.spec.terms.priority,
      objectiveAtMs: getObjectiveAtMs(row),
    }))
    .toSorted(
      (a, b) =>
        a.rank - b.rank ||
        a.objectiveAtMs - b.objectiveAtMs ||
        a.row.spec.jobId.localeCompare(b.row.spec.jobId),
    )
    .map(({ row }) => row);
}
