import { type DurableJobRow, isLongRunning, listPlacedTasks } from '../jobs/index.js';
import { estimateStartByMs } from './estimateStartByMs.js';
import type { RunTimes } from './RunTimes.js';

/** A placed task of a job. */
export interface LateRun {
  readonly jobId: string;
  /** Index of the task in its job's list of tasks. */
  readonly position: number;
}

/** Input of {@link listLateRuns}. */
export interface ListLateRunsInput {
  readonly jobs: readonly DurableJobRow[];
  /** Targets whose VMs another pool waits for. */
  readonly drainedTargets: ReadonlySet<string>;
  readonly runTimes: RunTimes;
  /** Gets the progress of a run in percent; undefined if it must not be stopped. */
  readonly getProgressPercent: (row: DurableJobRow, position: number) => number | undefined;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
}

/** Shortest rest of a run that is stopped, in milliseconds: a stop takes nearly as long. */
const MIN_REST_MS = 300;

/**
 * Lists the runs that hold up the move of a VM although their jobs can no longer meet their
 * objectives.
 *
 * The load that it answers: load peaks follow each other faster than a pool works off its backlog.
 * The VMs that the next pool waits for are drained, and stay until the last of their late tasks has
 * ended.
 * @param input - Jobs, drained targets and the progress of runs.
 * @returns The runs to stop; their tasks wait again, after all others. Gangs and long-running tasks
 * are left out.
 */
export function listLateRuns(input: ListLateRunsInput): readonly LateRun[] {
  const { jobs, drainedTargets, runTimes, getProgressPercent, nowMs } = input;
  if (drainedTargets.size === 0) return [];
  return jobs
    .filter((row) => !isLongRunning(row) && nowMs > estimateStartByMs(row, runTimes))
    .flatMap((row) =>
      listPlacedTasks(row)
        .filter(({ task }) => drainedTargets.has(task.targetId!))
        .filter(({ task, position }) => {
          const percent = getProgressPercent(row, position);
          if (percent === undefined || row.spec.steps[task.step]!.isGang) return false;
          return runTimes.estimateMs(row, task.step) * (1 - percent / 100) >= MIN_REST_MS;
        })
        .map(({ position }) => ({ jobId: row.spec.jobId, position })),
    );
}
