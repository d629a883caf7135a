import { type DurableJobRow, listPlacedTasks, nameTask, type TaskRow } from '../jobs/index.js';
import { memoizeByObject } from '../utils/index.js';

/** A task that may have crashed a target and has been placed again. */
export interface PlacedSuspect {
  readonly taskName: string;
  readonly targetId: string;
}

/**
 * Tells whether a task may have crashed a target.
 * @param task - The task.
 * @returns Whether the task is a suspect.
 */
export function isSuspect({ crashCount }: TaskRow): boolean {
  return crashCount > 0;
}

/**
 * Lists the placed tasks of a job that may have crashed a target before.
 * @param row - The job.
 * @returns The tasks with their current targets.
 */
export const listSuspects = memoizeByObject((row: DurableJobRow): readonly PlacedSuspect[] =>
  listPlacedTasks(row)
    .filter(({ task }) => isSuspect(task))
    .map(({ task }) => ({ taskName: nameTask(row, task), targetId: task.targetId! })),
);
