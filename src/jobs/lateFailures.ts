import { type DurableJobRow, isFinished } from './DurableJobRow.js';
import { isFailureCounted } from './failedRuns.js';
import { recordFailure } from './progressJob.js';

/**
 * Largest number of runs of a task that are kept as unheard; the earliest are dropped. Most of them
 * never report an end, as their targets really are gone.
 */
const MAX_UNHEARD_RUNS = 8;

/**
 * Records that a run was given up only because its target was listed as gone. A run on a target
 * that is not gone may have failed unheard. Long-running tasks have no limit of attempts.
 * @param row - The job, in which the run has been given up.
 * @param position - Position of the task among the job's tasks.
 * @param run - Number of the run.
 * @returns The job.
 */
export function noteUnheardRun(row: DurableJobRow, position: number, run: number): DurableJobRow {
  const task = row.tasks[position]!;
  if (isFinished(row) || row.spec.steps[task.step]!.isLongRunning) return row;
  if (isFailureCounted(row, position, run)) return row;
  const unheardRuns = [...(task.unheardRuns ?? []), run].slice(-MAX_UNHEARD_RUNS);
  return { ...row, tasks: row.tasks.with(position, { ...task, unheardRuns }) };
}

/**
 * Tells whether a failure of an earlier run of a task still counts as an attempt.
 * @param row - The job.
 * @param position - Position of the task among the job's tasks.
 * @param run - Number of the run.
 * @returns Whether the run was given up unheard, and its failure has not been counted.
 */
export function isUnheardRun(row: DurableJobRow, position: number, run: number): boolean {
  const { phase, unheardRuns = [] } = row.tasks[position]!;
  return !isFinished(row) && phase !== 'done' && unheardRuns.includes(run);
}

/**
 * Counts the failure of an unheard run as an attempt; the task's current run goes on. It counts
 * once: each further home hears of it too, until one of them has acknowledged it.
 * @param row - The job.
 * @param position - Position of the task among the job's tasks.
 * @param run - Number of the run.
 * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
 * @returns The job, in state `failed` if this was the last attempt.
 */
export function countLateFailure(
  row: DurableJobRow,
  position: number,
  run: number,
  nowMs: number,
): DurableJobRow {
  return recordFailure(row, position, run, nowMs);
}
