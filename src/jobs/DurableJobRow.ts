import type { DurableJobSpec, DurableJobState } from './DurableJobSpec.js';
import { createOccurrence } from './occurrences.js';
import { formatTaskName, type TaskRow } from './TaskRow.js';

/** A job and the progress of its tasks. Rows are immutable; an update creates a new row. */
export interface DurableJobRow {
  readonly spec: DurableJobSpec;
  readonly state: DurableJobState;
  /** Tasks of the occurrences that have begun and are kept, by occurrence, step and index. */
  readonly tasks: readonly TaskRow[];
  /** Occurrences 0 to this number less one have begun; those without tasks here are done. */
  readonly begunOccurrenceCount: number;
  /** When the job reached its final state, in milliseconds since the Unix epoch. */
  readonly finishedAtMs?: number;
}

/**
 * Creates the row of a newly accepted job.
 * @param spec - Specification of the job.
 * @returns The row, with every task in phase `waiting`; a job with a schedule has none until an
 * occurrence is due.
 */
export function createJobRow(spec: DurableJobSpec): DurableJobRow {
  const isScheduled = spec.schedule !== undefined;
  return {
    spec,
    state: 'queued',
    tasks: isScheduled ? [] : createOccurrence(spec, 0),
    begunOccurrenceCount: isScheduled ? 0 : 1,
    finishedAtMs: undefined,
  };
}

/**
 * Gets the name by which targets identify a task.
 * @param row - The job.
 * @param task - The task.
 * @returns The name, which is unique across all jobs.
 */
export function nameTask({ spec }: DurableJobRow, task: TaskRow): string {
  return formatTaskName({ jobId: spec.jobId, ...task });
}

/** A task and its position among its job's tasks. */
export interface PositionedTask {
  readonly task: TaskRow;
  readonly position: number;
}

/**
 * Lists the tasks of a job that are placed on targets.
 * @param row - The job.
 * @returns The tasks and their positions.
 */
export function listPlacedTasks({ tasks }: DurableJobRow): readonly PositionedTask[] {
  return tasks
    .map((task, position) => ({ task, position }))
    .filter(({ task }) => task.phase === 'placed');
}

/**
 * Tells whether a job has reached its final state.
 * @param row - The job.
 * @returns Whether no further tasks of the job will be started.
 */
export function isFinished(row: DurableJobRow): boolean {
  return row.state === 'completed' || row.state === 'failed' || row.state === 'cancelled';
}

/**
 * Tells whether a job has tasks that run until it is cancelled.
 * @param row - The job.
 * @returns Whether one of its steps is long-running.
 */
export function isLongRunning({ spec }: DurableJobRow): boolean {
  return spec.steps.some((step) => step.isLongRunning);
}
