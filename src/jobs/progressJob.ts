import type { TaskEnd } from '../targets/index.js';
import { type DurableJobRow, isFinished } from './DurableJobRow.js';
import type { TaskRow } from './TaskRow.js';

function replaceTask(row: DurableJobRow, position: number, task: TaskRow): DurableJobRow {
  return { ...row, tasks: row.tasks.with(position, task) };
}

function freeTask(task: TaskRow): TaskRow {
  return { ...task, phase: 'waiting', targetId: undefined };
}

/**
 * Gives a waiting task to a target, under its next run number.
 * @param row - The job.
 * @param position - Place of the task among the job's tasks.
 * @param targetId - The target.
 * @returns The job with the task placed.
 */
export function placeTask(row: DurableJobRow, position: number, targetId: string): DurableJobRow {
  const task = row.tasks[position]!;
  const placed: TaskRow = { ...task, phase: 'placed', run: task.run + 1, targetId };
  return { ...replaceTask(row, position, placed), state: 'running' };
}

/**
 * Takes a task back from its target, for a start that did not happen.
 * @param row - The job.
 * @param position - Place of the task among the job's tasks.
 * @returns The job with the task waiting.
 */
export function unplaceTask(row: DurableJobRow, position: number): DurableJobRow {
  return replaceTask(row, position, freeTask(row.tasks[position]!));
}

/** Lists the places of a task and of those that work only together with it. */
function listTogether(row: DurableJobRow, position: number): readonly number[] {
  const { occurrence, step } = row.tasks[position]!;
  if (!row.spec.steps[step]!.isGang) return [position];
  return row.tasks.flatMap((task, place) =>
    task.occurrence === occurrence && task.step === step ? [place] : [],
  );
}

function endTask(row: DurableJobRow, position: number, end: TaskEnd): TaskRow {
  const task = freeTask(row.tasks[position]!);
  const { isLongRunning } = row.spec.steps[task.step]!;
  if (isLongRunning) return task;
  if (end === 'done') return { ...task, phase: 'done' };
  return end === 'failed' ? { ...task, failureCount: task.failureCount + 1 } : task;
}

function settle(row: DurableJobRow, position: number, nowMs: number): DurableJobRow {
  if (isFinished(row)) return row;
  const failureCount = listTogether(row, position)
    .map((place) => row.tasks[place]!.failureCount)
    .reduce((sum, count) => sum + count, 0);
  if (failureCount >= row.spec.terms.maxAttempts) {
    return { ...row, state: 'failed', finishedAtMs: nowMs };
  }
  const isCompleted = row.tasks.every(({ phase }) => phase === 'done');
  return isCompleted ? { ...row, state: 'completed', finishedAtMs: nowMs } : row;
}

/** A run that ended. */
export interface RunEnd {
  readonly end: TaskEnd;
  readonly checkpoint: string | undefined;
}

/**
 * Takes note of the end of a task's run.
 * @param row - The job.
 * @param position - Place of the task among the job's tasks.
 * @param runEnd - How the run ended, and what it saved.
 * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
 * @returns The job with the task done or waiting, and with its final state where this end decides.
 */
export function endRun(
  row: DurableJobRow,
  position: number,
  { end, checkpoint }: RunEnd,
  nowMs: number,
): DurableJobRow {
  const ended = endTask(row, position, end);
  const settleMember = (task: TaskRow): TaskRow => {
    const saved = { ...task, checkpoint: checkpoint ?? task.checkpoint };
    // The members of a gang are done together, and one end stands for all of them.
    return ended.phase === 'done' ? { ...freeTask(saved), phase: 'done' } : saved;
  };
  const tasks = listTogether(row, position).reduce<readonly TaskRow[]>(
    (before, place) =>
      before.with(place, settleMember(place === position ? ended : before[place]!)),
    row.tasks,
  );
  return settle({ ...row, tasks }, position, nowMs);
}

/** What follows for a task from the crash of a target that it was on. */
export interface TaskCrash {
  /** Crashes that the task may have caused, with this one where it may have caused it. */
  readonly crashCount: number;
  /** Whether the task is not to be started again, so that its job fails. */
  readonly isTaskGivenUp: boolean;
}

/**
 * Takes note of what the crash of a target says of a task.
 * @param row - The job.
 * @param position - Place of the task among the job's tasks.
 * @param crash - What follows for the task.
 * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
 * @returns The job, failed where the task is given up.
 */
export function noteCrash(
  row: DurableJobRow,
  position: number,
  { crashCount, isTaskGivenUp }: TaskCrash,
  nowMs: number,
): DurableJobRow {
  const noted = replaceTask(row, position, { ...row.tasks[position]!, crashCount });
  if (!isTaskGivenUp || isFinished(row)) return noted;
  return { ...noted, state: 'failed', finishedAtMs: nowMs };
}

/**
 * Lists the placed tasks that cannot work without a task, because they are one gang with it.
 * @param row - The job.
 * @param position - Place of the task among the job's tasks.
 * @returns Places of the others; none where the task is no member of a gang.
 */
export function listGangMates(row: DurableJobRow, position: number): readonly number[] {
  return listTogether(row, position).filter(
    (place) => place !== position && row.tasks[place]!.phase === 'placed',
  );
}

/**
 * Cancels a job; its runs still have to be stopped.
 * @param row - The job.
 * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
 * @returns The cancelled job, or the same one where it was finished already.
 */
export function cancelJob(row: DurableJobRow, nowMs: number): DurableJobRow {
  return isFinished(row) ? row : { ...row, state: 'cancelled', finishedAtMs: nowMs };
}

/**
 * Finds a task of a job.
 * @param row - The job.
 * @param task - Occurrence, step and index.
 * @returns Its place among the job's tasks, or -1.
 */
export function findTask(
  row: DurableJobRow,
  task: Pick<TaskRow, 'occurrence' | 'step' | 'index'>,
): number {
  return row.tasks.findIndex(
    ({ occurrence, step, index }) =>
      occurrence === task.occurrence && step === task.step && index === task.index,
  );
}
