import { type DurableJobRow, isLongRunning } from '../jobs/index.js';
import { estimateStartByMs } from './estimateStartByMs.js';
import { listReadyTasks } from './listReadyTasks.js';
import type { RunTimes } from './RunTimes.js';

/** Input of {@link withholdLateJobs}. */
export interface WithholdLateJobsInput {
  /** Jobs with ready tasks, in placement order. */
  readonly jobs: readonly DurableJobRow[];
  readonly runTimes: RunTimes;
  /** Steady wall-clock time by which jobs are late, in milliseconds since the Unix epoch. */
  readonly nowMs: number;
  /** Wall-clock time by which occurrences are due, in milliseconds since the Unix epoch. */
  readonly dueAtMs: number;
}

/** Ready tasks of late jobs that a round places beside others, as a share of those in time. */
const LATE_TASKS_SHARE = 0.25;
/** Ready tasks of late jobs that each round may place, so that late jobs end as well. */
const MIN_LATE_TASK_COUNT = 8;

/**
 * Selects the jobs of a round at a home that is short of processor time.
 *
 * Such a home has room for all ready tasks and not the time to start them and to take note of their
 * ends. If it spends that time on jobs that are late already, those in time become late as well,
 * and in the load peak of a pool every job is served late. So late jobs get a small part of the
 * starts until the home has time again; the first one is always among the selected.
 * @param input - The jobs, and what tells that they are late.
 * @returns The jobs to place, in the same order.
 */
export function withholdLateJobs(input: WithholdLateJobsInput): readonly DurableJobRow[] {
  const { jobs, runTimes, nowMs, dueAtMs } = input;
  const countReady = (row: DurableJobRow): number =>
    listReadyTasks(row, dueAtMs).reduce((sum, { positions }) => sum + positions.length, 0);
  const isLate = (row: DurableJobRow): boolean =>
    !isLongRunning(row) && nowMs > estimateStartByMs(row, runTimes);
  const late = new Set(jobs.filter(isLate));
  const inTimeCount = jobs
    .filter((row) => !late.has(row))
    .reduce((sum, row) => sum + countReady(row), 0);
  let leftCount = Math.max(MIN_LATE_TASK_COUNT, LATE_TASKS_SHARE * inTimeCount);
  return jobs.filter((row) => {
    if (!late.has(row)) return true;
    const isSelected = leftCount > 0;
    leftCount -= countReady(row);
    return isSelected;
  });
}
