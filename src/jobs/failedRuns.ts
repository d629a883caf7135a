import type { DurableJobRow } from './DurableJobRow.js';
import type { DurableJobSpec } from './DurableJobSpec.js';
import type { TaskRow } from './TaskRow.js';

/**
 * Lists the members of a task's gang.
 * @param row - The job.
 * @param position - Position of the task among the job's tasks.
 * @returns Positions of all members, or of the task alone.
 */
export function listGangPositions(row: DurableJobRow, position: number): readonly number[] {
  const { occurrence, step } = row.tasks[position]!;
  if (!row.spec.steps[step]!.isGang) return [position];
  return row.tasks.flatMap((task, memberPosition) =>
    task.occurrence === occurrence && task.step === step ? [memberPosition] : [],
  );
}

/**
 * Tells whether the failure of a gang's run has been counted, as another member has failed in it.
 * @param row - The job.
 * @param position - Position of a member among the job's tasks.
 * @param run - Number of the run, which the members share.
 * @returns Whether it has; false for a task without a gang, whose ends each come once.
 */
export function isFailureCounted(row: DurableJobRow, position: number, run: number): boolean {
  const { step } = row.tasks[position]!;
  if (!row.spec.steps[step]!.isGang) return false;
  return listGangPositions(row, position).some(
    (memberPosition) => row.tasks[memberPosition]!.failedRun === run,
  );
}

/** Takes a run off those that may have failed unheard. */
function dropUnheardRun(task: TaskRow, run: number): TaskRow {
  const unheardRuns = task.unheardRuns?.filter((unheard) => unheard !== run);
  return unheardRuns === undefined ? task : { ...task, unheardRuns };
}

/**
 * Counts a failed run as an attempt.
 *
 * Guards against a gang that is given up after one run: its members share their runs, and a target
 * that fails what it starts fails several of them at once. A run counts once, with the member whose
 * failure is known first.
 * @param row - The job.
 * @param position - Position of the task that has failed.
 * @param run - Number of the run that has failed.
 * @returns The tasks of the job.
 */
export function countFailedRun(
  row: DurableJobRow,
  position: number,
  run: number,
): readonly TaskRow[] {
  if (isFailureCounted(row, position, run)) return row.tasks;
  const task = row.tasks[position]!;
  const { isGang } = row.spec.steps[task.step]!;
  const failed: TaskRow = {
    ...task,
    failureCount: task.failureCount + 1,
    ...(isGang ? { failedRun: run } : {}),
  };
  return listGangPositions(row, position).reduce<readonly TaskRow[]>(
    (tasks, member) => tasks.with(member, dropUnheardRun(tasks[member]!, run)),
    row.tasks.with(position, failed),
  );
}

/**
 * Counts the attempts of a task, or of its gang, that have failed.
 * @param row - The job.
 * @param position - Position of the task among the job's tasks.
 * @returns How many of its runs have ended as failed.
 */
export function countFailedAttempts(row: DurableJobRow, position: number): number {
  return listGangPositions(row, position)
    .map((memberPosition) => row.tasks[memberPosition]!.failureCount)
    .reduce((sum, count) => sum + count, 0);
}

/**
 * Corrects the failures of gangs that an earlier version has stored, which counted each member's.
 * How many runs they were of is not known: as many as the member with the most has had, at least.
 * @param spec - The job.
 * @param tasks - Its tasks as they are stored.
 * @returns The tasks, unchanged where no gang of theirs has failed without a known run.
 */
export function mergeMemberFailures(
  spec: DurableJobSpec,
  tasks: readonly TaskRow[],
): readonly TaskRow[] {
  const isOfGang = ({ step }: TaskRow): boolean => spec.steps[step]!.isGang;
  const failed = tasks.filter((task) => task.failureCount > 0 && isOfGang(task));
  if (failed.length === 0) return tasks;
  const nameGang = ({ occurrence, step }: TaskRow): string => `${occurrence}/${step}`;
  const known = new Set(failed.filter(({ failedRun }) => failedRun !== undefined).map(nameGang));
  const most = new Map<string, TaskRow>();
  failed
    .toSorted((a, b) => a.failureCount - b.failureCount)
    .forEach((task) => most.set(nameGang(task), task));
  return tasks.map((task) =>
    !isOfGang(task) || known.has(nameGang(task)) || most.get(nameGang(task)) === task
      ? task
      : { ...task, failureCount: 0 },
  );
}
