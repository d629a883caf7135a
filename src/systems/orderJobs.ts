import { type DurableJobRow, isFinished } from '../jobs/index.js';
import type { RunTimes } from './RunTimes.js';

function isLongRunning({ spec }: DurableJobRow): boolean {
  return spec.steps.some((step) => step.isLongRunning);
}

/** Options of {@link orderJobs}. */
export interface OrderJobsOptions {
  readonly runTimes: RunTimes;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
}

/** A job with what decides about its place. */
interface Ranked {
  readonly row: DurableJobRow;
  /** Class of the job; lower ones come first whatever their objectives. */
  readonly rank: number;
  readonly objectiveAtMs: number;
}

/** Place of long-running services, before every priority. */
const SERVICE_RANK = -1;
/** Added to the priority of jobs that are too late for their objective; above any priority. */
const LATE_RANK = 1_000;

function rankJob(row: DurableJobRow, { runTimes, nowMs }: OrderJobsOptions): Ranked {
  const { submittedAtMs, terms } = row.spec;
  const restMs = runTimes.estimateRestMs(row);
  const wholeMs = runTimes.estimateChainMs(row);
  const objectiveAtMs = submittedAtMs + terms.stretch * wholeMs + terms.targetDurationMs;
  if (isLongRunning(row)) return { row, rank: SERVICE_RANK, objectiveAtMs };
  const isLate = nowMs + restMs > objectiveAtMs;
  return { row, rank: terms.priority + (isLate ? LATE_RANK : 0), objectiveAtMs };
}

/**
 * Orders jobs for placement: long-running services first, since each second without them costs,
 * then by priority, then the earliest objective; jobs that cannot meet theirs any more come last.
 *
 * Answers rushes that ask for more than a pool holds. By the objective alone each job would get its
 * room when it is just too late, and in a rush nearly all would be late.
 * @param jobs - The jobs.
 * @param options - What has been learned of run times, and the time.
 * @returns The unfinished ones in their order.
 */
export function orderJobs(
  jobs: readonly DurableJobRow[],
  options: OrderJobsOptions,
): readonly DurableJobRow[] {
  return jobs
    .filter((row) => !isFinished(row))
    .map((row) => rankJob(row, options))
    .toSorted(
      (a, b) =>
        a.rank - b.rank ||
        a.objectiveAtMs - b.objectiveAtMs ||
        a.row.spec.jobId.localeCompare(b.row.spec.jobId),
    )
    .map(({ row }) => row);
}
