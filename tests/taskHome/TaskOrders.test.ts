import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it, vi } from 'vitest';
import {
  type HomeWorld,
  makeJob,
  makeStep,
  EMPTY_SYNC_REQUEST,
  useHomeWorld,
} from './HomeWorld.js';

/** Time in which several reports arrive and the fleet is read several times, in milliseconds. */
const SEVERAL_REPORTS_MS = 200;

describe('a stop without an answer', () => {
  let world: HomeWorld;
  let syncPool: (drainedTargets: readonly string[]) => Promise<unknown>;
  let secondTargetId: string;

  useHomeWorld((fresh) => {
    world = fresh;
  });

  /**
   * Runs a service of two tasks, and stops the second one on a target that leaves stops unanswered.
   */
  async function stopSecond(): Promise<void> {
    const home = await world.open();
    const limits = { maxUnavailableCount: 1, maxTasksPerTarget: 1 };
    await home.submit(makeJob('a', [makeStep({ taskCount: 2, isLongRunning: true, ...limits })]));
    await world.waitForRunning(['a.0.0.0', 'a.0.0.1']);
    secondTargetId = world.targets.begun.find(({ taskName }) => taskName === 'a.0.0.1')!.targetId;
    world.targets.setFaults(secondTargetId, { losesStops: true });
    syncPool = (drainedTargets) => home.syncPool({ ...EMPTY_SYNC_REQUEST, drainedTargets });
    await vi.waitFor(async () => {
      await syncPool([secondTargetId]);
      expect(world.targets.stops).toContain('a.0.0.1');
    });
  }

  // Guards against two unavailable tasks of a step, as the first stop takes effect late.
  it('counts as pending, so that no second task of the step is stopped', async () => {
    await stopSecond();
    await sleep(SEVERAL_REPORTS_MS);
    await syncPool(['t1', 't2']);
    await sleep(SEVERAL_REPORTS_MS);
    expect(world.targets.stops).not.toContain('a.0.0.0');
  });

  // Guards against a stop that takes effect late, when the run counts as at work again.
  it('is repeated until the target has answered', async () => {
    await stopSecond();
    await syncPool([]);
    world.targets.setFaults(secondTargetId, { losesStops: false });
    await vi.waitFor(() => expect(world.targets.begun).toHaveLength(3));
  });
});
