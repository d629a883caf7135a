import { type DurableJobRow, isDue, isFinished } from '../jobs/index.js';
import { groupBy, memoizeByObject } from '../utils/index.js';

/** Waiting tasks of one step and occurrence that may start. */
export interface ReadyTasks {
  readonly step: number;
  readonly occurrence: number;
  /** Indexes of the tasks in the job's list of tasks. */
  readonly positions: readonly number[];
}

/** Lists the waiting tasks whose preceding steps are done, whether or not they are due. */
const listUnblockedTasks = memoizeByObject((row: DurableJobRow): readonly ReadyTasks[] => {
  if (isFinished(row)) return [];
  const waiting = row.tasks
    .map((task, position) => ({ task, position }))
    .filter(({ task }) => task.phase === 'waiting');
  if (waiting.length === 0) return [];
  const unfinished = new Set(
    row.tasks
      .filter(({ phase }) => phase !== 'done')
      .map(({ occurrence, step }) => `${occurrence}.${step}`),
  );
  const groups = groupBy(waiting, ({ task }) => `${task.occurrence}.${task.step}`);
  return [...groups.values()]
    .map((group) => {
      const { occurrence, step } = group[0]!.task;
      return { occurrence, step, positions: group.map(({ position }) => position) };
    })
    .filter(
      ({ occurrence, step }) =>
        !row.spec.steps[step]!.afterSteps.some((before) =>
          unfinished.has(`${occurrence}.${before}`),
        ),
    );
});

/**
 * Lists the waiting tasks of a job that may start: their occurrence is due and every task of the
 * preceding steps is done.
 * @param row - The job.
 * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
 * @returns The tasks by step and occurrence; no group is empty.
 */
export function listReadyTasks(row: DurableJobRow, nowMs: number): readonly ReadyTasks[] {
  const unblocked = listUnblockedTasks(row);
  if (row.spec.schedule === undefined) return unblocked;
  return unblocked.filter(({ occurrence }) => isDue(row.spec, occurrence, nowMs));
}
