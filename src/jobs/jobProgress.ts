import { z } from 'zod';
import { throwError } from '../errors/index.js';
import { createJobRow, type DurableJobRow, type PositionedTask } from './DurableJobRow.js';
import type { DurableJobSpec } from './DurableJobSpec.js';
import { durableJobStateSchema } from './durableJobStateSchema.js';
import { mergeMemberFailures } from './failedRuns.js';
import { countOccurrenceTasks, createOccurrence, getOccurrenceCount } from './occurrences.js';
import type { TaskPhase, TaskRow } from './TaskRow.js';

const count = z.int().nonnegative();

/** Letter of each phase in {@link JobProgress.phases}. */
const PHASE_LETTERS: Readonly<Record<TaskPhase, string>> = { waiting: 'w', placed: 'p', done: 'd' };
const PHASES_BY_LETTER: ReadonlyMap<string, TaskPhase> = new Map([
  ['w', 'waiting'],
  ['p', 'placed'],
  ['d', 'done'],
]);

/** Schema of a job's stored progress. */
export const progressSchema = z.looseObject({
  state: durableJobStateSchema,
  finishedAtMs: z.number().optional(),
  /**
   * How many occurrences of a job with a schedule have begun, and which of them have tasks here; if
   * absent, all of its occurrences have.
   */
  begunOccurrenceCount: count.optional(),
  occurrences: z.array(count).optional(),
  /** One letter per task, in the order of the job's tasks. */
  phases: z.string().regex(/^[wpd]*$/),
  /** Number of each task's latest run. */
  runs: z.array(count),
  /** Distinct targets of the placed tasks. */
  targetIds: z.array(z.string()),
  /** For each placed task, in order, the index of its target in `targetIds`. */
  targetOf: z.array(count),
  /** Position and failure count of each task that has failed. */
  failures: z.array(z.tuple([count, count])),
  /** Position and latest failed run of each member of a gang that has one; absent if none has. */
  failedRuns: z.array(z.tuple([count, count])).optional(),
  /** Position and crash count of each task that may have crashed a target. */
  crashes: z.array(z.tuple([count, count])).default([]),
  /** Position and unheard runs of each task that has any; absent if no task has. */
  unheard: z.array(z.tuple([count, z.array(count)])).optional(),
  /** Position and checkpoint of each task that has a checkpoint. */
  checkpoints: z.array(z.tuple([count, z.string()])),
});

/**
 * Stored progress of a job, in columns.
 *
 * Data that follows from the job's specification, such as the names and order of the tasks, is
 * omitted. For a job of 16 tasks, a record with one object per task takes 2.4 KB; in columns it
 * takes 0.2 KB. Each start and each end of a task writes a record, and an entry VM may have a link
 * of 10 Mbit/s.
 */
export type JobProgress = z.output<typeof progressSchema>;

/** Tells whether a task has more to store than its phase, its run and its target. */
function isMarked(task: TaskRow): boolean {
  const { failureCount, failedRun, crashCount, unheardRuns, checkpoint } = task;
  if (failureCount > 0 || crashCount > 0) return true;
  return failedRun !== undefined || unheardRuns !== undefined || checkpoint !== undefined;
}

/** Lists the marked tasks: most jobs have none, and each change of a job writes a record. */
function listMarkedTasks(tasks: readonly TaskRow[]): readonly PositionedTask[] {
  if (!tasks.some(isMarked)) return [];
  return tasks.map((task, position) => ({ task, position })).filter(({ task }) => isMarked(task));
}

/** Lists the positions and values of the tasks for which `getValue` returns a value. */
function collectPresentValues<Value>(
  tasks: readonly PositionedTask[],
  getValue: (task: TaskRow) => Value | undefined,
): [number, Value][] {
  return tasks.flatMap(({ task, position }): [number, Value][] => {
    const value = getValue(task);
    return value === undefined ? [] : [[position, value]];
  });
}

function packOccurrences({
  spec,
  tasks,
  begunOccurrenceCount,
}: DurableJobRow): Pick<JobProgress, 'begunOccurrenceCount' | 'occurrences'> {
  if (spec.schedule === undefined) return {};
  const occurrences = [...new Set(tasks.map(({ occurrence }) => occurrence))];
  return { begunOccurrenceCount, occurrences };
}

/** Creates the tasks that a progress record tells about, all in phase `waiting`. */
function createStoredTasks(
  spec: DurableJobSpec,
  { occurrences, phases, runs }: JobProgress,
): readonly TaskRow[] {
  const keptCount = occurrences?.length ?? getOccurrenceCount(spec);
  const taskCount = keptCount * countOccurrenceTasks(spec);
  if (phases.length !== taskCount || runs.length !== taskCount) {
    throwError(
      'internal',
      `Stored progress of job ${spec.jobId} does not match its steps: ${phases.length} tasks.`,
    );
  }
  const kept = occurrences ?? Array.from({ length: keptCount }, (_o, occurrence) => occurrence);
  return kept.flatMap((occurrence) => createOccurrence(spec, occurrence));
}

/**
 * Converts the progress of a job to its stored form.
 * @param row - The job.
 * @returns The progress in columns.
 */
export function packProgress(row: DurableJobRow): JobProgress {
  const { state, finishedAtMs, tasks } = row;
  const placedTargetIds = tasks
    .filter(({ phase }) => phase === 'placed')
    .map(({ targetId }) => targetId!);
  const targetIds = [...new Set(placedTargetIds)];
  const marked = listMarkedTasks(tasks);
  const failedRuns = collectPresentValues(marked, ({ failedRun }) => failedRun);
  const unheard = collectPresentValues(marked, ({ unheardRuns = [] }) =>
    unheardRuns.length === 0 ? undefined : [...unheardRuns],
  );
  return {
    state,
    ...(finishedAtMs === undefined ? {} : { finishedAtMs }),
    ...packOccurrences(row),
    phases: tasks.map(({ phase }) => PHASE_LETTERS[phase]).join(''),
    runs: tasks.map(({ run }) => run),
    targetIds,
    targetOf: placedTargetIds.map((targetId) => targetIds.indexOf(targetId)),
    failures: collectPresentValues(marked, ({ failureCount }) => failureCount || undefined),
    ...(failedRuns.length === 0 ? {} : { failedRuns }),
    crashes: collectPresentValues(marked, ({ crashCount }) => crashCount || undefined),
    ...(unheard.length === 0 ? {} : { unheard }),
    checkpoints: collectPresentValues(marked, ({ checkpoint }) => checkpoint),
  };
}

/**
 * Restores the row of a job from its specification and its stored progress.
 * @param spec - Specification of the job.
 * @param progress - Stored progress; undefined if none has been stored.
 * @returns The row of the job.
 * @throws RattanliftError Of kind `internal` if the number of phases or runs is not that of the
 * tasks.
 */
export function restoreJobRow(
  spec: DurableJobSpec,
  progress: JobProgress | undefined,
): DurableJobRow {
  if (progress === undefined) return createJobRow(spec);
  const { state, finishedAtMs, phases, runs, targetIds, targetOf } = progress;
  const { begunOccurrenceCount = getOccurrenceCount(spec) } = progress;
  const created = createStoredTasks(spec, progress);
  const failures = new Map(progress.failures);
  const failedRuns = new Map(progress.failedRuns);
  const crashes = new Map(progress.crashes);
  const unheard = new Map(progress.unheard);
  const checkpoints = new Map(progress.checkpoints);
  const placedTargetIds = targetOf.map((targetIndex) => targetIds[targetIndex]).values();
  const tasks = created.map((task, position): TaskRow => {
    const phase = PHASES_BY_LETTER.get(phases[position]!)!;
    return {
      ...task,
      phase,
      run: runs[position]!,
      targetId: phase === 'placed' ? placedTargetIds.next().value : undefined,
      failureCount: failures.get(position) ?? 0,
      ...(failedRuns.has(position) ? { failedRun: failedRuns.get(position)! } : {}),
      crashCount: crashes.get(position) ?? 0,
      ...(unheard.has(position) ? { unheardRuns: unheard.get(position)! } : {}),
      checkpoint: checkpoints.get(position),
    };
  });
  const merged = mergeMemberFailures(spec, tasks);
  return { spec, state, tasks: merged, begunOccurrenceCount, finishedAtMs };
}
