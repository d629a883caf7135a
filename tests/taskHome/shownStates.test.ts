import { describe, expect, it, vi } from 'vitest';
import { type HomeWorld, makeJob, useHomeWorld } from './HomeWorld.js';

const TASK_NAME = 'a.0.0.0';

describe('The state of a job', () => {
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
    world.leaseMs = 300;
  });

  // Guards against a job that runs again after its caller was told that it is completed.
  it('is shown as completed only if no later home starts the job again', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning([TASK_NAME]);
    const { targetId } = world.targets.begun[0]!;
    world.store.faults.isSilent = true;
    world.targets.finish(TASK_NAME, 'done');
    await vi.waitFor(() => expect(world.countEvents('jobFinished')).toBe(1), 3_000);
    const shown = home.getState('a');
    world.kill(home);
    world.store.faults.isSilent = false;
    expect(world.targets.get(targetId).unacknowledged).toHaveLength(1);
    world.entries.delete(targetId);
    world.targets.crash(targetId);
    await world.open();
    await world.waitForRunning([TASK_NAME]);
    expect(world.targets.begun.map(({ run }) => run)).toEqual([1, 2]);
    expect(shown).toBe('running');
  });

  // Guards against a job that is shown as running for good although its end is stored.
  it('is shown as completed once the end is stored', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning([TASK_NAME]);
    world.store.faults.isSilent = true;
    world.targets.finish(TASK_NAME, 'done');
    await vi.waitFor(() => expect(world.countEvents('jobFinished')).toBe(1), 3_000);
    expect(home.getState('a')).toBe('running');
    world.store.faults.isSilent = false;
    await vi.waitFor(() => expect(home.getState('a')).toBe('completed'), 3_000);
  });
});
