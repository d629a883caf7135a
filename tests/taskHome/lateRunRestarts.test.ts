import { setTimeout as sleep } from 'node:timers/promises';
import { beforeEach, describe, expect, it, vi } from 'vitest';
import type { TaskHome } from '../../src/taskHome/index.js';
import type { LeasedTargetFaults } from '../../standins/leasedTargets/index.js';
import { AdvancedClock } from '../support/AdvancedClock.js';
import { type HomeWorld, makeEntry, makeJob, makeStep, useHomeWorld } from './HomeWorld.js';

const TASK_COUNT = 10;
/** Two tasks on each of five targets; a sixth one has room. */
const STEP = makeStep({ taskCount: TASK_COUNT, maxTasksPerTarget: 2, estimatedRunMs: 4_000 });
const TARGETS = ['t1', 't2', 't3', 't4', 't5', 't6'] as const;
const RUN_MS = 4_000;
const SLOW_RUN_MS = 40_000;
const TASK_NAMES = Array.from({ length: TASK_COUNT }, (_none, index) => `a.0.0.${index}`);
/** Longer than a report counts, in milliseconds. */
const PAUSE_MS = 5_000;
/** Time in which a slow target is found, in milliseconds. */
const FOUND_MS = 1_500;

describe('a late run on a slow target', () => {
  let world: HomeWorld;
  let home: TaskHome;
  let clock: AdvancedClock;
  let slowId: string;

  useHomeWorld((created) => {
    world = created;
    TARGETS.slice(2).forEach((targetId) => world.addTarget(makeEntry(targetId)));
  });

  /** Lists the tasks that have begun on the slow target, without repetition. */
  const listSlowTasks = (): readonly string[] => {
    const begun = world.targets.begun.filter(({ targetId }) => targetId === slowId);
    return [...new Set(begun.map(({ taskName }) => taskName))].toSorted();
  };

  const setFaults = (faults: Partial<LeasedTargetFaults>): void =>
    world.targets.setFaults(slowId, faults);

  const waitForRestarts = async (): Promise<void> => {
    await vi.waitFor(() => expect(world.countEvents('runRestarted')).toBe(2), FOUND_MS);
  };

  /** Waits until the tasks of the slow target run elsewhere, and lets all tasks end. */
  const finishElsewhere = async (current: TaskHome): Promise<void> => {
    await vi.waitFor(() => expect(world.targets.get(slowId).runningNames).toEqual([]), 5_000);
    await world.waitForRunning(TASK_NAMES);
    TASK_NAMES.forEach((taskName) => world.targets.finish(taskName, 'done'));
    await vi.waitFor(() => expect(current.getState('a')).toBe('completed'));
  };

  beforeEach(async () => {
    TARGETS.forEach((targetId) => Object.assign(world.targets.get(targetId), { runMs: RUN_MS }));
    clock = new AdvancedClock();
    home = await world.open(clock);
    await home.submit(makeJob('a', [STEP]));
    await world.waitForRunning(TASK_NAMES);
    slowId = world.targets.begun[0]!.targetId;
    Object.assign(world.targets.get(slowId), { runMs: SLOW_RUN_MS });
  });

  it('is stopped, and its task ends on a target that has room', async () => {
    await waitForRestarts();
    await finishElsewhere(home);
    expect(world.targets.stops.toSorted()).toEqual(listSlowTasks());
    expect(world.countEvents('targetUneven')).toBe(1);
  });

  // Guards against a task that runs twice, as its stop never reached the target.
  it('runs once while its stop is lost', async () => {
    setFaults({ losesStops: true });
    await waitForRestarts();
    await sleep(FOUND_MS);
    expect(world.targets.begun).toHaveLength(TASK_COUNT);
    setFaults({ losesStops: false });
    await finishElsewhere(home);
  });

  // Guards against a task that runs twice, as its stop is carried out after all, without an answer.
  it('runs once while the answer to its stop is lost', async () => {
    setFaults({ appliesStopsLate: true });
    await waitForRestarts();
    world.targets.applyLateStops(slowId);
    await sleep(FOUND_MS);
    setFaults({ appliesStopsLate: false });
    await finishElsewhere(home);
  });

  // Guards against a task that runs twice or nowhere, as its home is lost between stop and end.
  it('ends once if the home is lost while it is being restarted', async () => {
    setFaults({ stopsSlowly: true });
    await waitForRestarts();
    world.kill(home);
    const next = await world.open();
    await sleep(FOUND_MS);
    setFaults({ stopsSlowly: false });
    world.targets.applyLateStops(slowId);
    await finishElsewhere(next);
    expect(world.countEvents('jobFinished')).toBe(1);
  });

  // Guards against a home that was paused and stops runs by reports of long ago.
  it('goes on as far as only reports from before a pause tell of it', async () => {
    world.isGroupLeaseHeld = false;
    await vi.waitFor(() => expect(world.countEvents('targetUneven')).toBe(1), FOUND_MS);
    setFaults({ delaysReports: true });
    await vi.waitFor(() => expect(world.targets.countLateReports(slowId)).toBe(1));
    clock.advance(PAUSE_MS);
    world.isGroupLeaseHeld = true;
    world.targets.deliverLateReports(slowId);
    await vi.waitFor(() => expect(world.targets.countLateReports(slowId)).toBe(1));
    expect(world.targets.stops).toEqual([]);
    setFaults({ delaysReports: false });
    world.targets.deliverLateReports(slowId);
    await waitForRestarts();
  });

  // Guards against work that is thrown away, as an instance stops what it can't start again.
  it('goes on while another instance may be the home', async () => {
    world.isGroupLeaseHeld = false;
    await sleep(FOUND_MS);
    expect(world.targets.stops).toEqual([]);
    world.isGroupLeaseHeld = true;
    await waitForRestarts();
  });
});
