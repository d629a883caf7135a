import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { type HomeWorld, makeEntry, makeJob, useHomeWorld } from './HomeWorld.js';
import { TASK_NAME } from './lateRuns.js';
import { StartScene } from './StartScene.js';

/** Long enough for the next home to place the task before a lease without renewals lapses. */
const LEASE_MS = 1_000;
/** Leases after which the next home counts the runs of unknown targets as lapsed, and more. */
const LEASES_UNTIL_LAPSE = 2;

describe('the run of an earlier home on a target that is not listed', () => {
  let world: HomeWorld;
  let scene: StartScene;

  useHomeWorld((created) => {
    world = created;
    world.leaseMs = LEASE_MS;
    scene = new StartScene(world);
  });

  // Guards against a task that runs twice: a replaced home renews a lease on an unlisted target.
  it('has ended before the task starts again, though the earlier home goes on', async () => {
    world.entries.delete('t2');
    await scene.open(['t1']);
    await scene.waitForTargets();
    await scene.home.submit(makeJob('a'));
    await world.waitForRunning([TASK_NAME]);
    world.entries.delete('t1');
    await scene.open([]);
    await sleep(LEASES_UNTIL_LAPSE * LEASE_MS);
    expect(world.targets.listRunning()).toEqual([]);
    expect(world.targets.get('t1').lapsedRuns).toHaveLength(1);
    world.entries.set('t2', makeEntry('t2'));
    await scene.tryElsewhere();
    expect(world.targets.violations).toEqual([]);
    await scene.complete('a');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'completed', beginCount: 2 });
  });
});
