import type { DurableJobRow } from '../jobs/index.js';
import { listReadyTasks } from './listReadyTasks.js';
import type { RunTimes } from './RunTimes.js';
import { getAllocatedResources } from './TargetCapacity.js';

/** Input of {@link describeKnownWork}. */
export interface KnownWorkInput {
  /** Unfinished jobs of one pool that can still meet their objectives. */
  readonly rows: readonly DurableJobRow[];
  readonly runTimes: RunTimes;
  /** Time until which jobs may end, in milliseconds. */
  readonly leadMs: number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
}

/** Work of jobs that have arrived, apart from their long-running tasks. */
export interface KnownWork {
  /** Mean time from the start to the end of a job, in milliseconds. */
  readonly meanChainMs: number;
  /** Most CPU that jobs which are under way after the lead can use, in thousandths of a core. */
  readonly laterCpuMillicores: number;
}

/** Gets the most CPU that one of the unfinished steps of a job uses, in thousandths of a core. */
function getWidestStep({ spec, tasks }: DurableJobRow): number {
  const unfinished = new Set(tasks.filter(({ phase }) => phase !== 'done').map(({ step }) => step));
  const widths = spec.steps.map((step, index) =>
    step.isLongRunning || !unfinished.has(index)
      ? 0
      : step.taskCount * getAllocatedResources(step).cpuMillicores,
  );
  return Math.max(0, ...widths);
}

/**
 * Describes jobs that have arrived: how long they take, and what those can use that will be under
 * way when a VM that is ordered now is available. These are jobs that take longer, and jobs whose
 * tasks wait, since they start late.
 * @param input - The jobs.
 * @returns The description.
 */
export function describeKnownWork(input: KnownWorkInput): KnownWork {
  const { runTimes, leadMs, nowMs } = input;
  const rows = input.rows.filter(({ spec }) => spec.steps.some((step) => !step.isLongRunning));
  const isUnderWayLater = (row: DurableJobRow): boolean =>
    runTimes.estimateRemainingMs(row) > leadMs || listReadyTasks(row, nowMs).length > 0;
  const chainMs = rows.reduce((sum, row) => sum + runTimes.estimateChainMs(row), 0);
  return {
    meanChainMs: chainMs / Math.max(1, rows.length),
    laterCpuMillicores: rows
      .filter(isUnderWayLater)
      .reduce((sum, row) => sum + getWidestStep(row), 0),
  };
}
