import type { TaskEnd } from '../targets/index.js';
import { type DurableJobRow, isFinished } from './DurableJobRow.js';
import { countFailedAttempts, countFailedRun, listGangPositions } from './failedRuns.js';
import { countOccurrenceTasks, getOccurrenceCount } from './occurrences.js';
import type { TaskRow } from './TaskRow.js';

function replaceTask(row: DurableJobRow, position: number, task: TaskRow): DurableJobRow {
  return { ...row, tasks: row.tasks.with(position, task) };
}

function resetToWaiting(task: TaskRow): TaskRow {
  return { ...task, phase: 'waiting', targetId: undefined };
}

/**
 * Records that a target has begun a run of a job.
 * @param row - The job.
 * @returns The job, in state `running` unless it was so before or is finished.
 */
export function beginJob(row: DurableJobRow): DurableJobRow {
  return row.state === 'queued' ? { ...row, state: 'running' } : row;
}

/**
 * Places a waiting task on a target and increments its run number. Its job begins only once the
 * target has begun the run, see {@link beginJob}.
 * @param row - The job.
 * @param position - Position of the task among the job's tasks.
 * @param targetId - The target.
 * @returns The job with the task placed.
 */
export function placeTask(row: DurableJobRow, position: number, targetId: string): DurableJobRow {
  const task = row.tasks[position]!;
  const placed: TaskRow = { ...task, phase: 'placed', run: task.run + 1, targetId };
  return replaceTask(row, position, placed);
}

/**
 * Returns a placed task to the phase `waiting` because its start did not happen.
 * @param row - The job.
 * @param position - Position of the task among the job's tasks.
 * @returns The job with the task waiting.
 */
export function unplaceTask(row: DurableJobRow, position: number): DurableJobRow {
  return replaceTask(row, position, resetToWaiting(row.tasks[position]!));
}

function endTask(row: DurableJobRow, position: number, end: TaskEnd): TaskRow {
  const task = resetToWaiting(row.tasks[position]!);
  const { isLongRunning } = row.spec.steps[task.step]!;
  if (isLongRunning) return task;
  return end === 'done' ? { ...task, phase: 'done' } : task;
}

function countIfFailed(row: DurableJobRow, position: number, end: TaskEnd): DurableJobRow {
  const { run, step } = row.tasks[position]!;
  if (end !== 'failed' || row.spec.steps[step]!.isLongRunning) return row;
  return { ...row, tasks: countFailedRun(row, position, run) };
}

function updateJobState(row: DurableJobRow, position: number, nowMs: number): DurableJobRow {
  if (isFinished(row)) return row;
  if (countFailedAttempts(row, position) >= row.spec.terms.maxAttempts) {
    return { ...row, state: 'failed', finishedAtMs: nowMs };
  }
  const haveAllBegun = row.begunOccurrenceCount >= getOccurrenceCount(row.spec);
  const isCompleted = haveAllBegun && row.tasks.every(({ phase }) => phase === 'done');
  return isCompleted ? { ...row, state: 'completed', finishedAtMs: nowMs } : row;
}

/**
 * Counts a failure of an earlier run of a task without a change of its phase.
 * @param row - The job.
 * @param position - Position of the task among the job's tasks.
 * @param run - Number of the run.
 * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
 * @returns The job, in state `failed` if this was the last attempt.
 */
export function recordFailure(
  row: DurableJobRow,
  position: number,
  run: number,
  nowMs: number,
): DurableJobRow {
  const tasks = countFailedRun(row, position, run);
  return updateJobState({ ...row, tasks }, position, nowMs);
}

/** How a run ended. */
export interface RunEnd {
  readonly end: TaskEnd;
  readonly checkpoint: string | undefined;
}

/**
 * Records the end of a task's run.
 * @param row - The job.
 * @param position - Position of the task among the job's tasks.
 * @param runEnd - How the run ended and the checkpoint that it saved.
 * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
 * @returns The job with the task done or waiting, and in its final state if the run completed or
 * failed the job.
 */
export function endRun(
  row: DurableJobRow,
  position: number,
  { end, checkpoint }: RunEnd,
  nowMs: number,
): DurableJobRow {
  const counted = countIfFailed(row, position, end);
  const ended = endTask(counted, position, end);
  const updateMember = (task: TaskRow): TaskRow => {
    // The members of a gang finish together, so the end of one member applies to all of them.
    if (ended.phase === 'done') {
      return { ...resetToWaiting(task), phase: 'done', checkpoint: undefined };
    }
    return { ...task, checkpoint: checkpoint ?? task.checkpoint };
  };
  const tasks = listGangPositions(row, position).reduce<readonly TaskRow[]>(
    (tasksSoFar, memberPosition) =>
      tasksSoFar.with(
        memberPosition,
        updateMember(memberPosition === position ? ended : tasksSoFar[memberPosition]!),
      ),
    counted.tasks,
  );
  const begun = end === 'done' ? beginJob(counted) : counted;
  return updateJobState({ ...begun, tasks }, position, nowMs);
}

/** Consequences of a target's crash for a task that was placed on it. */
export interface CrashOutcome {
  /** Number of crashes that the task may have caused, including this one if applicable. */
  readonly crashCount: number;
  /** Whether the task must not be started again, which fails its job. */
  readonly isTaskGivenUp: boolean;
}

/**
 * Records the crash of a target for a task that was placed on it.
 * @param row - The job.
 * @param position - Position of the task among the job's tasks.
 * @param crash - Consequences for the task.
 * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
 * @returns The job, in state `failed` if the task is given up.
 */
export function recordCrash(
  row: DurableJobRow,
  position: number,
  { crashCount, isTaskGivenUp }: CrashOutcome,
  nowMs: number,
): DurableJobRow {
  const updated = replaceTask(row, position, { ...row.tasks[position]!, crashCount });
  if (!isTaskGivenUp || isFinished(row)) return updated;
  return { ...updated, state: 'failed', finishedAtMs: nowMs };
}

/**
 * Lists the other placed tasks of a task's gang, which cannot work without it.
 * @param row - The job.
 * @param position - Position of the task among the job's tasks.
 * @returns Positions of the other tasks; empty if the task does not belong to a gang.
 */
export function listOtherGangTasks(row: DurableJobRow, position: number): readonly number[] {
  return listGangPositions(row, position).filter(
    (memberPosition) =>
      memberPosition !== position && row.tasks[memberPosition]!.phase === 'placed',
  );
}

/**
 * Cancels a job. The caller still has to stop the job's runs.
 * @param row - The job.
 * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
 * @returns The cancelled job, or the unchanged job if it was already finished.
 */
export function cancelJob(row: DurableJobRow, nowMs: number): DurableJobRow {
  return isFinished(row) ? row : { ...row, state: 'cancelled', finishedAtMs: nowMs };
}

/**
 * Finds a task of a job.
 * @param row - The job.
 * @param task - Occurrence, step and index of the task.
 * @returns Position of the task among the job's tasks, or -1 if the job has no such task.
 */
export function findTask(
  row: DurableJobRow,
  { occurrence, step, index }: Pick<TaskRow, 'occurrence' | 'step' | 'index'>,
): number {
  const { spec, tasks } = row;
  const stepSpec = spec.steps[step];
  if (stepSpec === undefined || index < 0 || index >= stepSpec.taskCount) return -1;
  const start = tasks.findIndex((task) => task.occurrence === occurrence);
  if (start < 0) return -1;
  return start + countOccurrenceTasks({ steps: spec.steps.slice(0, step) }) + index;
}
