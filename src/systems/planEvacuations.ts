import { type DurableJobRow, isFinished, isLongRunning } from '../jobs/index.js';
import { getStepKey } from './TargetCapacity.js';

/** A task that is to be stopped and restarted on another target. */
export interface Evacuation {
  readonly jobId: string;
  /** Index of the task in its job's list of tasks. */
  readonly position: number;
}

/** Input of {@link planEvacuations}. */
export interface PlanEvacuationsInput {
  readonly jobs: readonly DurableJobRow[];
  /** Targets that are being drained. */
  readonly drainedTargets: ReadonlySet<string>;
  /** Tells whether a placed task is known to be running now. */
  readonly isRunning: (row: DurableJobRow, position: number) => boolean;
}

/**
 * Chooses the long-running tasks to stop on targets that are being drained. Other tasks are left to
 * finish.
 *
 * A step limits how many of its tasks the system may make unavailable at a time, so a task is
 * stopped only while enough other tasks of its step are running. A task of a step with a limit of
 * zero is never stopped.
 * @param input - Jobs, drained targets, and which tasks are running.
 * @returns The tasks to stop.
 */
export function planEvacuations(input: PlanEvacuationsInput): readonly Evacuation[] {
  const { jobs, drainedTargets, isRunning } = input;
  return jobs
    .filter((row) => isLongRunning(row) && !isFinished(row))
    .flatMap((row) => {
      const unavailableByStep = new Map<string, number>();
      row.tasks.forEach(({ occurrence, step }, position) => {
        const key = getStepKey(row, occurrence, step);
        const isUnavailable = !isRunning(row, position);
        unavailableByStep.set(key, (unavailableByStep.get(key) ?? 0) + (isUnavailable ? 1 : 0));
      });
      return row.tasks.flatMap(({ occurrence, step, phase, targetId }, position) => {
        const { isLongRunning: isStepLongRunning, maxUnavailableCount = 1 } = row.spec.steps[step]!;
        const isOnDrainedTarget = phase === 'placed' && drainedTargets.has(targetId!);
        if (!isStepLongRunning || !isOnDrainedTarget || !isRunning(row, position)) return [];
        const key = getStepKey(row, occurrence, step);
        const unavailableCount = unavailableByStep.get(key)!;
        if (unavailableCount >= maxUnavailableCount) return [];
        unavailableByStep.set(key, unavailableCount + 1);
        return [{ jobId: row.spec.jobId, position }];
      });
    });
}
