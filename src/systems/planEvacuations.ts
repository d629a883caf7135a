import { type DurableJobRow, isFinished, isLongRunning } from '../jobs/index.js';
import { getStepKey } from './TargetRoom.js';

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
  readonly isAtWork: (row: DurableJobRow, position: number) => boolean;
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
  const { jobs, drainedTargets, isAtWork } = input;
  return jobs
    .filter((row) => isLongRunning(row) && !isFinished(row))
    .flatMap((row) => {
      const awayByStep = new Map<string, number>();
      row.tasks.forEach(({ occurrence, step }, position) => {
        const key = getStepKey(row, occurrence, step);
        const isAway = !isAtWork(row, position);
        awayByStep.set(key, (awayByStep.get(key) ?? 0) + (isAway ? 1 : 0));
      });
      return row.tasks.flatMap(({ occurrence, step, phase, targetId }, position) => {
        const { isLongRunning: isLasting, maxUnavailableCount = 1 } = row.spec.steps[step]!;
        const isConcerned = phase === 'placed' && drainedTargets.has(targetId!);
        if (!isLasting || !isConcerned || !isAtWork(row, position)) return [];
        const key = getStepKey(row, occurrence, step);
        const awayCount = awayByStep.get(key)!;
        if (awayCount >= maxUnavailableCount) return [];
        awayByStep.set(key, awayCount + 1);
        return [{ jobId: row.spec.jobId, position }];
      });
    });
}
