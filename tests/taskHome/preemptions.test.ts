import { setTimeout as sleep } from 'node:timers/promises';
import { beforeEach, describe, expect, it, vi } from 'vitest';
import type { TaskHome } from '../../src/taskHome/index.js';
import { ManualClock } from '../../src/utils/index.js';
import { type HomeWorld, makeJob, makeStep, TERMS, useHomeWorld } from './HomeWorld.js';

const DEMAND = { cpuMillicores: 4_000, memoryMb: 100, gpuCount: 0 };
const LONG_RUN_MS = 20_000;
/** Time in which a home runs several rounds of placement, in milliseconds. */
const SEVERAL_ROUNDS_MS = 150;
/** Outlasts the time for which a resumed task is not stopped again, in milliseconds. */
const LONGER_THAN_PROTECTED_MS = 11_000;
const BATCH_TASK = 'batch.0.0.0';
const URGENT_TASK = 'urgent.0.0.0';

describe('preemptions', () => {
  let home: TaskHome;
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
  });

  /** Submits a job that fills the only target, of which a report shows a quarter. */
  const fillPool = async (): Promise<void> => {
    const step = makeStep({ demand: DEMAND, estimatedRunMs: LONG_RUN_MS, isCheckpointing: true });
    await home.submit({ ...makeJob('batch', [step]), terms: { ...TERMS, priority: 1 } });
    await world.waitForRunning([BATCH_TASK]);
    world.targets.get('t1').setProgress(BATCH_TASK, 25);
    await sleep(SEVERAL_ROUNDS_MS);
  };

  const submitUrgent = async (): Promise<void> => {
    await home.submit(makeJob('urgent', [makeStep({ demand: DEMAND })]));
  };

  beforeEach(async () => {
    world.entries.delete('t2');
    home = await world.open();
    await fillPool();
  });

  it('give a waiting task of a more urgent queue its room, and resume the other later', async () => {
    await submitUrgent();
    await world.waitForRunning([URGENT_TASK]);
    world.targets.finish(URGENT_TASK, 'done');
    await world.waitForRunning([BATCH_TASK]);
    expect(world.targets.stops).toEqual([BATCH_TASK]);
    expect(world.countEvents('taskPreempted')).toBe(1);
  });

  // Failure: a task that was stopped for another one is stopped for the next one at once.
  it('do not stop a task again right after it has resumed', async () => {
    await submitUrgent();
    await world.waitForRunning([URGENT_TASK]);
    world.targets.finish(URGENT_TASK, 'done');
    await world.waitForRunning([BATCH_TASK]);
    world.targets.get('t1').setProgress(BATCH_TASK, 30);
    await home.submit(makeJob('second', [makeStep({ demand: DEMAND })]));
    await sleep(SEVERAL_ROUNDS_MS);
    expect(world.targets.stops).toEqual([BATCH_TASK]);
  });

  // Failure: a task that has waited for long is stopped whenever it resumes, and never ends.
  it('let a task run for some time before it is stopped again, however long it has waited', async () => {
    const clock = new ManualClock(1_000_000);
    world.kill(home);
    home = await world.open(clock);
    await sleep(SEVERAL_ROUNDS_MS);
    await submitUrgent();
    await world.waitForRunning([URGENT_TASK]);
    clock.advance(LONGER_THAN_PROTECTED_MS);
    world.targets.finish(URGENT_TASK, 'done');
    await world.waitForRunning([BATCH_TASK]);
    world.targets.get('t1').setProgress(BATCH_TASK, 30);
    await sleep(SEVERAL_ROUNDS_MS);
    await home.submit(makeJob('second', [makeStep({ demand: DEMAND })]));
    await sleep(SEVERAL_ROUNDS_MS);
    expect(world.targets.stops).toEqual([BATCH_TASK]);
  });

  // Failure: a stop whose answer is lost leaves the urgent task waiting, or two runs at once.
  it('repeat a stop that was lost', async () => {
    world.targets.setFaults('t1', { losesStops: true });
    await submitUrgent();
    await vi.waitFor(() => expect(world.targets.stops.length).toBeGreaterThan(0));
    world.targets.setFaults('t1', { losesStops: false });
    await world.waitForRunning([URGENT_TASK]);
  });

  // Failure: a home that dies between stop and end leaves a task that nobody starts again.
  it('are completed by the next home', async () => {
    world.targets.setFaults('t1', { delaysReports: true });
    await submitUrgent();
    await vi.waitFor(() => expect(world.targets.stops).toEqual([BATCH_TASK]));
    world.kill(home);
    world.targets.setFaults('t1', { delaysReports: false });
    home = await world.open();
    await world.waitForRunning([URGENT_TASK]);
    world.targets.finish(URGENT_TASK, 'done');
    await world.waitForRunning([BATCH_TASK]);
  });

  // Failure: an instance that was replaced stops tasks that it can't start again.
  it('wait until this instance is certain to be the home', async () => {
    world.isGroupLeaseHeld = false;
    await submitUrgent().catch(() => undefined);
    await sleep(SEVERAL_ROUNDS_MS);
    expect(world.targets.stops).toEqual([]);
    world.isGroupLeaseHeld = true;
    await home.submit(makeJob('second', [makeStep({ demand: DEMAND })]));
    await vi.waitFor(() => expect(world.targets.stops).toEqual([BATCH_TASK]));
  });
});
