import type { WatchedRun } from './RunWatch.js';

/** A task that has to run. */
export interface DueTask {
  readonly taskName: string;
  /** Monotonic time from which its turn has come. */
  readonly turnAtMs: number;
  /** Whether it has to run until the end; otherwise until it is done. */
  readonly isLongRunning: boolean;
  /** Whether its job has ended, so that it has to run no more. */
  readonly isOver: boolean;
}

/** Input of {@link listLostTasks}. */
export interface ListLostTasksInput {
  /** Runs of all tasks, in the order of their beginnings. */
  readonly runs: readonly WatchedRun[];
  readonly tasks: readonly DueTask[];
  /** Monotonic time at which the last fault was lifted. */
  readonly liftedAtMs: number;
  /** Monotonic time from which nothing disturbs the homes any more, and one works. */
  readonly calmAtMs: number;
  /** Monotonic time up to which the runs are known. */
  readonly endAtMs: number;
  /** Length of a lease, in milliseconds. */
  readonly leaseMs: number;
}

interface Gap {
  readonly taskName: string;
  /** From when the task had to run, disturbed or not. */
  readonly dueAtMs: number;
  /** From when it had to run undisturbed. */
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Time without a run after which a task counts as lost, in milliseconds. */
const LOST_AFTER_MS = 9_000;
/** Time after the last fault from which a task counts as lost: 4 s until it is calm, and 7 s. */
const JUDGED_AFTER_MS = 11_000;

/** Tells from when a run does not stand in the way of the next one. */
function getFreeAtMs({ end, endedAtMs, acknowledgedAtMs }: WatchedRun, leaseMs: number): number {
  // Nobody knows of an end on a silent target before its lease is over.
  const isUnknown = end === 'done' && acknowledgedAtMs === undefined;
  return (endedAtMs ?? Infinity) + (isUnknown ? leaseMs : 0);
}

/** Lists the times in which a task did not run, though it had to. */
function listGaps(task: DueTask, input: ListLostTasksInput): readonly Gap[] {
  const { taskName, turnAtMs, isLongRunning, isOver } = task;
  const { leaseMs, endAtMs, calmAtMs } = input;
  const runs = input.runs.filter((run) => run.taskName === taskName);
  const dueAtMs = [turnAtMs, ...runs.map((run) => Math.max(turnAtMs, getFreeAtMs(run, leaseMs)))];
  const isDone = ({ end, acknowledgedAtMs }: WatchedRun): boolean =>
    end === 'done' && acknowledgedAtMs !== undefined;
  const gaps = [...runs.map(({ begunAtMs }) => begunAtMs), endAtMs].map((untilMs, place): Gap => {
    const dueFromMs = Math.max(...dueAtMs.slice(0, place + 1));
    return { taskName, dueAtMs: dueFromMs, fromMs: Math.max(calmAtMs, dueFromMs), untilMs };
  });
  const donePlace = isLongRunning ? -1 : runs.findIndex(isDone);
  if (donePlace >= 0) return gaps.slice(0, donePlace + 1);
  return isOver ? gaps.slice(0, -1) : gaps;
}

/** Tells whether a task did not run for too long, by the calm and by the last fault. */
function isTooLong({ dueAtMs, fromMs, untilMs }: Gap, liftedAtMs: number): boolean {
  const judgedAtMs = Math.max(liftedAtMs + JUDGED_AFTER_MS, dueAtMs + LOST_AFTER_MS);
  return untilMs > Math.min(fromMs + LOST_AFTER_MS, judgedAtMs);
}

/**
 * Lists the tasks that did not run for too long, though their turn had come and all was calm.
 * @param input - The tasks and all runs.
 * @returns A sentence for each such time.
 */
export function listLostTasks(input: ListLostTasksInput): readonly string[] {
  return input.tasks
    .flatMap((task) => listGaps(task, input))
    .filter((gap) => isTooLong(gap, input.liftedAtMs))
    .map(
      ({ taskName, dueAtMs, untilMs }) =>
        `${taskName} did not run from ${Math.round(dueAtMs)} to ${Math.round(untilMs)} ms`,
    );
}
