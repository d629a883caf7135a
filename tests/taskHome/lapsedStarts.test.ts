import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import type { LeasedTargetFaults } from '../../standins/leasedTargets/index.js';
import {
  EMPTY_SYNC_REQUEST,
  type HomeWorld,
  makeEntry,
  makeJob,
  useHomeWorld,
} from './HomeWorld.js';
import { TASK_NAME } from './lateRuns.js';
import { StartScene } from './StartScene.js';

/** Short enough to lapse within a test, and long enough for several renewals. */
const LEASE_MS = 400;
/** Time in which a target that is known gets several renewals, in milliseconds. */
const SEVERAL_RENEWALS_MS = 100;
const DONE_ONCE = { violations: [], state: 'completed', beginCount: 1 };
const UNANSWERED: readonly (readonly [string, Partial<LeasedTargetFaults>])[] = [
  ['without an answer', { appliesStartsLate: true }],
  ['under way', { delaysStarts: true }],
];

describe('a start without an answer on a target whose lease lapses', () => {
  let world: HomeWorld;
  let scene: StartScene;

  useHomeWorld((created) => {
    world = created;
    world.leaseMs = LEASE_MS;
    scene = new StartScene(world);
  });

  /** Lets the lease of `t1` lapse while it has not carried out a start, and its task go to `t2`. */
  async function lapse(faults: Partial<LeasedTargetFaults>): Promise<void> {
    await scene.open(['t1']);
    await scene.waitForTargets();
    world.targets.setFaults('t1', faults);
    await scene.home.submit(makeJob('a'));
    await scene.until(() => world.targets.countLateStarts('t1') > 0);
    await scene.placeOn(['t2']);
    world.targets.setFaults('t1', { isCutOff: true });
    world.entries.delete('t1');
    await world.waitForRunning([TASK_NAME]);
  }

  function comeBack(): void {
    world.targets.setFaults('t1', { isCutOff: false });
    world.entries.set('t1', makeEntry('t1'));
  }

  // Guards against a task that runs twice: the same lifetime is back, its lease is renewed, and
  // then the start takes effect.
  it.each(UNANSWERED)('has no effect once the target is back (%s)', async (_name, faults) => {
    await lapse(faults);
    const target = world.targets.get('t1');
    const lapsedAtMs = target.leaseEndsAtMs;
    comeBack();
    await scene.until(() => target.leaseEndsAtMs > lapsedAtMs);
    world.targets.applyLateStarts('t1');
    await scene.complete('a');
    expect(scene.describe('a')).toEqual(DONE_ONCE);
  });

  // Guards against a task that runs twice: the lease is renewed although the stop got no answer.
  it('has no effect while the stop of its run gets no answer', async () => {
    await lapse({ appliesStartsLate: true });
    world.targets.setFaults('t1', { losesStops: true });
    comeBack();
    await scene.until(() => world.targets.stops.length > 1);
    expect(scene.home.leases.freshLeaseCount).toBe(1);
    world.targets.applyLateStarts('t1');
    await scene.complete('a');
    expect(scene.describe('a')).toEqual(DONE_ONCE);
  });

  // Guards against a target that stays without tasks for good after it was lost.
  it('lets the target take tasks again once it has accepted a stop', async () => {
    await lapse({ appliesStartsLate: true });
    world.targets.setFaults('t1', { appliesStartsLate: false, losesStops: true });
    comeBack();
    await scene.until(() => world.targets.stops.length > 0);
    await scene.placeOn(['t1']);
    await scene.home.submit(makeJob('b'));
    expect(world.targets.begun).toHaveLength(1);
    world.targets.setFaults('t1', { losesStops: false });
    await world.waitForRunning([TASK_NAME, 'b.0.0.0']);
    expect(world.targets.get('t1').runningNames).toEqual(['b.0.0.0']);
    await scene.complete('a');
  });

  // Guards against stops that are kept for ever of runs on a target that is gone.
  it('is forgotten once the lifetime is over', async () => {
    await lapse({ appliesStartsLate: true });
    const drainedTargets = ['t1'];
    await scene.home.syncPool({ ...EMPTY_SYNC_REQUEST, drainedTargets, endedTargets: ['t1'] });
    comeBack();
    await sleep(SEVERAL_RENEWALS_MS);
    expect(world.targets.stops).toEqual([]);
    world.targets.applyLateStarts('t1');
    await scene.complete('a');
    expect(scene.describe('a')).toEqual(DONE_ONCE);
  });
});
