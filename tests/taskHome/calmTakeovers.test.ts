import { setTimeout as sleep } from 'node:timers/promises';
import { expect, it, vi } from 'vitest';
import { TargetAccess } from '../../standins/leasedTargets/index.js';
import type { LeaseAnswer, LeasedTargetAddress, LeaseRenewal } from '../../src/targets/index.js';
import { makeStep } from './HomeWorld.js';
import { playSilence } from './SilenceScene.js';

/** Time that each call to a target takes, in milliseconds: a target in another data centre. */
const CALL_MS = 40;
const LASTING = makeStep({ taskCount: 2, isLongRunning: true });

/** A way to targets on which each renewal takes a while. */
class DistantTargets extends TargetAccess {
  override async renew(target: LeasedTargetAddress, renewal: LeaseRenewal): Promise<LeaseAnswer> {
    await sleep(CALL_MS);
    return super.renew(target, renewal);
  }
}

// Guards against leases that may not be extended though nothing is wrong: a home has just opened.
it('lets a home record no lapse of a target that answers as soon as it can', () =>
  playSilence(['t1', 't2'], async (scene) => {
    const { world } = scene;
    await scene.open();
    await scene.submit(LASTING);
    await scene.until(() => scene.listRunning().length === LASTING.taskCount);
    world.access = new DistantTargets(world.targets);
    const append = vi.spyOn(world.store, 'append');
    const home = await scene.open();
    await scene.until(() => home.leases.freshLeaseCount === world.entries.size);
    const recorded = append.mock.calls
      .flatMap(([{ records }]) => records)
      .filter(({ key, value }) => key === 'lapses' && value !== undefined);
    expect(recorded).toHaveLength(0);
  }));
