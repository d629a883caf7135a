import type { DurableJobSpec, DurableJobState } from './DurableJobSpec.js';
import { formatTaskName, type TaskRow } from './TaskRow.js';

/** A job and the progress of its tasks. Rows are immutable; an update creates a new row. */
export interface DurableJobRow {
  readonly spec: DurableJobSpec;
  readonly state: DurableJobState;
  /** Tasks ordered by occurrence, step and index. */
  readonly tasks: readonly TaskRow[];
  /** When the job reached its final state, in milliseconds since the Unix epoch. */
  readonly finishedAtMs?: number;
}

/**
 * Creates the row of a newly accepted job.
 * @param spec - Specification of the job.
 * @returns The row, with every task in phase `waiting`.
 */
export function createJobRow(spec: DurableJobSpec): DurableJobRow {
  const occurrenceCount = spec.schedule?.occurrenceCount ?? 1;
  const tasks = Array.from({ length: occurrenceCount }, (_o, occurrence) =>
    spec.steps.flatMap(({ taskCount }, step) =>
      Array.from({ length: taskCount }, (_t, index): TaskRow => ({
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
    ),
  ).flat();
  return { spec, state: 'queued', tasks, finishedAtMs: undefined };
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
