import { type DurableJobRow, isFinished, isLongRunning } from '../jobs/index.js';
import { getStepKey } from './TargetRoom.js';

/** A task that is to be stopped so that it starts again elsewhere. */
export interface Evacuation {
  readonly jobId: string;
  /** Place of the task among its job's tasks. */
  readonly position: number;
}

/** What {@link planEvacuations} decides over. */
export interface PlanEvacuationsInput {
  readonly jobs: readonly DurableJobRow[];
  /** Targets that are being emptied. */
  readonly drainedTargets: ReadonlySet<string>;
  /** Whether a placed task is known to be at work at this moment. */
  readonly isAtWork: (row: DurableJobRow, position: number) => boolean;
}

/**
 * Chooses the long-running tasks that leave targets which are being emptied. Tasks with an end of
 * their own are left to end.
 *
 * A step may lose only so many tasks at a time by the system's own doing, so a task is stopped only
 * while enough of the others are at work; one of a step that can spare none stays.
 * @param input - Jobs, targets and what is at work.
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
