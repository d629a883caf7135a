import type { DurableJobRow } from './DurableJobRow.js';
import type { DurableJobSpec, Schedule } from './DurableJobSpec.js';
import type { TaskRow } from './TaskRow.js';

/** Maximum number of tasks in one occurrence of a job: twice what one step may have. */
export const MAX_OCCURRENCE_TASKS = 20_000;

/** Schedule of jobs without one, whose steps run once. */
const ONCE: Schedule = {
  occurrenceCount: 1,
  firstDueAtMs: Number.NEGATIVE_INFINITY,
  intervalMs: 0,
};

/**
 * Counts the tasks of one occurrence of a job.
 * @param spec - The job.
 * @returns The tasks of all steps.
 */
export function countOccurrenceTasks({ steps }: Pick<DurableJobSpec, 'steps'>): number {
  return steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
}

/**
 * Gets how often a job runs.
 * @param spec - The job.
 * @returns The number of its occurrences; 1 without a schedule.
 */
export function getOccurrenceCount({ schedule = ONCE }: DurableJobSpec): number {
  return schedule.occurrenceCount;
}

/**
 * Creates the tasks of an occurrence.
 * @param spec - The job.
 * @param occurrence - Number of the occurrence, from 0.
 * @returns The tasks, all in phase `waiting`.
 */
export function createOccurrence(spec: DurableJobSpec, occurrence: number): readonly TaskRow[] {
  return spec.steps.flatMap(({ taskCount }, step) =>
    Array.from({ length: taskCount }, (_task, index): TaskRow => ({
      occurrence,
      step,
      index,
      phase: 'waiting',
      run: 0,
      targetId: undefined,
      failureCount: 0,
      crashCount: 0,
      checkpoint: undefined,
    })),
  );
}

/**
 * Tells whether an occurrence is due.
 * @param spec - The job.
 * @param occurrence - Number of the occurrence, from 0.
 * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
 * @returns Whether its tasks may start by time.
 */
export function isDue(
  { schedule = ONCE }: DurableJobSpec,
  occurrence: number,
  nowMs: number,
): boolean {
  return nowMs >= schedule.firstDueAtMs + occurrence * schedule.intervalMs;
}

/** Lists the tasks of the occurrences that have an unfinished one, in order. */
function listUnfinishedOccurrences({ tasks }: DurableJobRow): readonly TaskRow[] {
  const unfinished = new Set(
    tasks.filter(({ phase }) => phase !== 'done').map(({ occurrence }) => occurrence),
  );
  return tasks.filter(({ occurrence }) => unfinished.has(occurrence));
}

/**
 * Begins the occurrences of a job that are due and drops those that are done, so that a job takes
 * the room of what it runs now, however often it runs.
 *
 * Positions of tasks change, so none may be kept over a call.
 * @param row - The job.
 * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
 * @param maxTaskCount - Number of kept tasks above which no further occurrence begins, however many
 * are due; one may always be under way.
 * @returns The job; the same object if nothing has changed.
 */
export function advanceOccurrences(
  row: DurableJobRow,
  nowMs: number,
  maxTaskCount: number,
): DurableJobRow {
  const { spec, begunOccurrenceCount } = row;
  if (spec.schedule === undefined) return row;
  const kept = listUnfinishedOccurrences(row);
  const occurrenceTaskCount = countOccurrenceTasks(spec);
  const begun: (readonly TaskRow[])[] = [];
  const mayBegin = (): boolean => {
    const occurrence = begunOccurrenceCount + begun.length;
    const taskCount = kept.length + begun.length * occurrenceTaskCount;
    const hasRoom = taskCount === 0 || taskCount + occurrenceTaskCount <= maxTaskCount;
    return hasRoom && occurrence < getOccurrenceCount(spec) && isDue(spec, occurrence, nowMs);
  };
  while (mayBegin()) begun.push(createOccurrence(spec, begunOccurrenceCount + begun.length));
  if (begun.length === 0 && kept.length === row.tasks.length) return row;
  return {
    ...row,
    tasks: [...kept, ...begun.flat()],
    begunOccurrenceCount: begunOccurrenceCount + begun.length,
  };
}
