import type { DurableJobRow, StepSpec } from '../jobs/index.js';
import { CATCH_UP_MS, LATE_CATCH_UP_MS } from './catchUpTimes.js';
import { estimateStartByMs } from './estimateStartByMs.js';
import { listOccupants } from './listOccupants.js';
import { listReadyTasks, type ReadyTasks } from './listReadyTasks.js';
import type { RunTimes } from './RunTimes.js';
import { getStepKey, type PlacementTarget, TargetRoom } from './TargetRoom.js';

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

/** Lists the free capacity of each target with only its long-running tasks. */
function listLastingRooms({ rows, targets }: CountWholeVmsInput): readonly TargetRoom[] {
  const rooms = new Map(
    targets.map((target) => [target.targetId, new TargetRoom({ ...target, takesTasks: true })]),
  );
  rows
    .flatMap((row) => listOccupants(row))
    .filter(({ step }) => step.isLongRunning)
    .forEach(({ targetId, stepKey, step }) => rooms.get(targetId)?.take(stepKey, step));
  return [...rooms.values()];
}

/**
 * Counts the VMs without long-running tasks ("whole VMs") that a pool needs for waiting tasks that
 * don't fit on any target next to its long-running tasks.
 *
 * Without such VMs, an accepted job may never run: a task of 29 of 32 cores waits forever if each
 * VM runs a long-running task, and the pool gets no VM since its total CPU suffices. Tasks that
 * need a label or don't fit on an empty target are ignored, since another VM may not help them.
 * @param input - Jobs and targets of the pool.
 * @returns Number of VMs that complete such tasks within the catch-up time.
 */
export function countWholeVms(input: CountWholeVmsInput): number {
  const { rows, targets, runTimes, nowMs } = input;
  const lastingRooms = listLastingRooms(input);
  const emptyRooms = targets.map((target) => new TargetRoom({ ...target, takesTasks: true }));
  const fits = (rooms: readonly TargetRoom[], stepKey: string, step: StepSpec): boolean =>
    rooms.some((room) => room.accepts(stepKey, step));
  const countFor = (row: DurableJobRow, ready: ReadyTasks): number => {
    const step = row.spec.steps[ready.step]!;
    const stepKey = getStepKey(row, ready.occurrence, ready.step);
    const needsWhole =
      step.requiredLabel === undefined &&
      !fits(lastingRooms, stepKey, step) &&
      fits(emptyRooms, stepKey, step);
    if (!needsWhole) return 0;
    const isLate = nowMs > estimateStartByMs(row, runTimes);
    const withinMs = isLate ? LATE_CATCH_UP_MS : CATCH_UP_MS;
    return (ready.positions.length * runTimes.estimateMs(row, ready.step)) / withinMs;
  };
  const vmShares = rows.flatMap((row) =>
    listReadyTasks(row, nowMs).map((ready) => countFor(row, ready)),
  );
  return Math.ceil(vmShares.reduce((sum, share) => sum + share, 0));
}
