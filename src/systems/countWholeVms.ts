import type { DurableJobRow, StepSpec } from '../jobs/index.js';
import { CATCH_UP_MS, LATE_CATCH_UP_MS } from './catchUpTimes.js';
import { estimateStartByMs } from './estimateStartByMs.js';
import { listAllocations } from './listAllocations.js';
import { listReadyTasks, type ReadyTasks } from './listReadyTasks.js';
import type { RunTimes } from './RunTimes.js';
import { getStepKey, type PlacementTarget, TargetCapacity } from './TargetCapacity.js';

/** Input of {@link countWholeVms}. */
export interface CountWholeVmsInput {
  /** Jobs of one pool. */
  readonly rows: readonly DurableJobRow[];
  /** Targets of the pool. */
  readonly targets: readonly PlacementTarget[];
  readonly runTimes: RunTimes;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
}

/**
 * Lists the free capacity of each target with only its long-running tasks. A target that takes no
 * tasks has none: if it is silent or leaves, its room is of no use to a task that waits.
 */
function listLongTermCapacities({ rows, targets }: CountWholeVmsInput): readonly TargetCapacity[] {
  const capacities = new Map(
    targets.map((target) => [target.targetId, new TargetCapacity(target)]),
  );
  rows
    .flatMap((row) => listAllocations(row))
    .filter(({ step }) => step.isLongRunning)
    .forEach(({ targetId, stepKey, step }) => capacities.get(targetId)?.allocate(stepKey, step));
  return [...capacities.values()];
}

/**
 * Counts the VMs without long-running tasks ("whole VMs") that a pool needs for waiting tasks that
 * don't fit on any target next to its long-running tasks.
 *
 * Without such VMs, an accepted job may never run: a task of 29 of 32 cores waits forever if each
 * VM runs a long-running task, and the pool gets no VM since its total CPU suffices. The same goes
 * for a task of a step with one task a target, if only silent targets are without one. Tasks that
 * need a label or don't fit on an empty target are ignored, since another VM may not help them.
 * @param input - Jobs and targets of the pool.
 * @returns Number of VMs that complete such tasks within the catch-up time.
 */
export function countWholeVms(input: CountWholeVmsInput): number {
  const { rows, targets, runTimes, nowMs } = input;
  const longTermCapacities = listLongTermCapacities(input);
  const emptyCapacities = targets.map(
    (target) => new TargetCapacity({ ...target, takesTasks: true }),
  );
  const fits = (capacities: readonly TargetCapacity[], stepKey: string, step: StepSpec): boolean =>
    capacities.some((capacity) => capacity.accepts(stepKey, step));
  const countVmsFor = (row: DurableJobRow, ready: ReadyTasks): number => {
    const step = row.spec.steps[ready.step]!;
    const stepKey = getStepKey(row, ready.occurrence, ready.step);
    const needsWholeVm =
      step.requiredLabel === undefined &&
      !fits(longTermCapacities, stepKey, step) &&
      fits(emptyCapacities, stepKey, step);
    if (!needsWholeVm) return 0;
    const isLate = nowMs > estimateStartByMs(row, runTimes);
    const catchUpMs = isLate ? LATE_CATCH_UP_MS : CATCH_UP_MS;
    return (ready.positions.length * runTimes.estimateMs(row, ready.step)) / catchUpMs;
  };
  const vmShares = rows.flatMap((row) =>
    listReadyTasks(row, nowMs).map((ready) => countVmsFor(row, ready)),
  );
  return Math.ceil(vmShares.reduce((sum, share) => sum + share, 0));
}
