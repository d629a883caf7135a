import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { TargetAccess } from '../../standins/leasedTargets/index.js';
import type { TaskHome } from '../../src/taskHome/index.js';
import { makeStep } from './HomeWorld.js';
import { LEASE_MS, playSilence, type SilenceScene } from './SilenceScene.js';

const TARGET_IDS = ['t1', 't2'];
/** Long enough for an answer, a wait for the store and a lost renewal within one lease. */
const LONG_LEASE_MS = 4_000;
/** Longer than the wait for a record, the pause after it, and the margin after a lease. */
const SILENT_AGAIN_MS = 1_000;
const LASTING = makeStep({ isLongRunning: true });
/** The platform allows 6 s and 3 s from the end of a lease of 5 s until a task runs again. */
const MAX_LEASES_UNTIL_RETURN = 1.8;
const UNREAD_HOMES = 4;
const LEASES_PER_HOME = 0.5;
/** An outage of the store of 5 s where a lease lasts 5 s. */
const OUTAGE_LEASES = 1;
/** Time after which the lease of a silent target has been recorded, in leases. */
const RECORDED_LEASES = 0.7;
const LEASES_OF_SCENE = LONG_LEASE_MS / LEASE_MS;
/** Several ticks of a home, in milliseconds. */
const TICKS_MS = 100;

/** Lets the next home reach all targets but the one with the task, and returns the way to them. */
function cutNextHomeOff(scene: SilenceScene): TargetAccess {
  const access = new TargetAccess(scene.world.targets);
  access.unreachableTargets.add(scene.targetId);
  Object.assign(scene.world, { access });
  return access;
}

/** What a test does with a home that has read its jobs and not loaded them. */
interface Takeover {
  readonly access: TargetAccess;
  readonly home: TaskHome;
  /** Loads the jobs. */
  readonly load: () => void;
}

/** Lets a task begin under a home, and the next home claim the partition, out of its reach. */
async function takeOver(scene: SilenceScene): Promise<Takeover> {
  const { world } = scene;
  world.leaseMs = LONG_LEASE_MS;
  const first = await scene.open();
  await scene.submit(LASTING);
  await scene.until(() => scene.listRunning().length === 1);
  scene.choose(world.targets.begun[0]!.targetId);
  world.kill(first);
  const access = cutNextHomeOff(scene);
  const { home, opening } = await world.claim();
  const opened = await opening.read(home.claimed);
  const load = (): void => {
    home.load(opened);
    home.tick();
  };
  return { access, home, load };
}

/** Lets the target answer one renewal of the present home, and fall silent again. */
async function hearOnce(scene: SilenceScene, access: TargetAccess): Promise<void> {
  const { world } = scene;
  access.unreachableTargets.clear();
  await scene.until(() => world.countEvents('targetHeardAgain') > 0);
  access.unreachableTargets.add(scene.targetId);
}

/** Lets the next home hear the target once, while the store does not answer it. */
async function hearOnceWithoutStore(scene: SilenceScene): Promise<void> {
  const { world } = scene;
  const { access, load } = await takeOver(scene);
  world.store.faults.isSilent = true;
  load();
  await hearOnce(scene, access);
  await sleep(SILENT_AGAIN_MS);
}

describe.concurrent('the lease that an earlier home has extended', () => {
  // Guards against a task that runs twice: a target answers once before its lease may be extended.
  it('is waited for though the target answers once while the store does not', () =>
    playSilence(TARGET_IDS, async (scene) => {
      const { world } = scene;
      await hearOnceWithoutStore(scene);
      const remainingMs = scene.target.leaseEndsAtMs - world.targets.clock.monotonicMs();
      expect(remainingMs).toBeGreaterThan(0);
      expect(world.countEvents('targetGone')).toBe(0);
    }));

  // Guards against a task that runs twice: the same, and the store is back before the lease ends.
  it('has ended before the task begins again once the store is back', () =>
    playSilence(TARGET_IDS, async (scene) => {
      const { world } = scene;
      await hearOnceWithoutStore(scene);
      world.store.faults.isSilent = false;
      await sleep(SILENT_AGAIN_MS);
      expect(world.targets.violations).toEqual([]);
    }));

  // Guards against a task that runs twice: a target answers once while the group does not.
  it('has ended before the next home begins the task, though the group confirms no home meanwhile', () =>
    playSilence(TARGET_IDS, async (scene) => {
      const { world } = scene;
      const { access, home, load } = await takeOver(scene);
      world.isGroupLeaseHeld = false;
      Object.assign(world, { mayExtendLeases: () => false });
      load();
      await hearOnce(scene, access);
      await sleep(SILENT_AGAIN_MS);
      world.kill(home);
      world.isGroupLeaseHeld = true;
      Object.assign(world, { mayExtendLeases: () => true });
      await world.open();
      await sleep(SILENT_AGAIN_MS);
      expect(scene.target.leaseEndsAtMs).toBeGreaterThan(world.targets.clock.monotonicMs());
      expect(world.targets.violations).toEqual([]);
    }));

  // Guards against tasks that run nowhere while homes are replaced before they have read anything.
  it('is not waited for anew by a home that follows one that has read nothing', () =>
    playSilence(TARGET_IDS, async (scene) => {
      const { world } = scene;
      const first = await scene.open();
      await scene.submit(LASTING);
      await scene.until(() => scene.listRunning().length === 1);
      scene.choose(world.targets.begun[0]!.targetId);
      scene.fallSilent('cut off');
      const changeHomes = async (): Promise<void> => {
        let before = first;
        for (let index = 1; index <= UNREAD_HOMES; index += 1) {
          // eslint-disable-next-line no-await-in-loop -- one home follows the other
          await scene.waitSinceSilence(index * LEASES_PER_HOME);
          world.kill(before);
          // eslint-disable-next-line no-await-in-loop -- one home follows the other
          before = (await world.claim()).home;
        }
        world.kill(before);
        await world.open();
      };
      const [leases] = await Promise.all([scene.measureReturn(), changeHomes()]);
      expect(leases).toBeLessThanOrEqual(MAX_LEASES_UNTIL_RETURN);
    }));

  // Guards against a task that is killed though its target answers: the store is silent meanwhile.
  it('is extended by the next home though the target answers late and the store later still', () =>
    playSilence(TARGET_IDS, async (scene) => {
      const { world } = scene;
      const { access, load } = await takeOver(scene);
      world.store.faults.isSilent = true;
      load();
      access.unreachableTargets.clear();
      await sleep(OUTAGE_LEASES * LONG_LEASE_MS);
      world.store.faults.isSilent = false;
      await sleep(SILENT_AGAIN_MS);
      expect(scene.target.lapsedRuns).toEqual([]);
      expect(scene.countBegun()).toBe(1);
    }));

  // Guards against a task that runs twice: a home in between has heard the target and extended it.
  it.each([true, false])(
    'is not taken from the record of a home before the last one (that has read its jobs: %s)',
    (isLoaded) =>
      playSilence(TARGET_IDS, async (scene) => {
        const { world } = scene;
        world.leaseMs = LONG_LEASE_MS;
        const first = await scene.open();
        await scene.submit(LASTING);
        await scene.until(() => scene.listRunning().length === 1);
        scene.choose(world.targets.begun[0]!.targetId);
        scene.fallSilent('cut off');
        await scene.waitSinceSilence(RECORDED_LEASES * LEASES_OF_SCENE);
        world.kill(first);
        const { leaseEndsAtMs } = scene.target;
        scene.comeBack();
        const { home, opening } = await world.claim();
        if (isLoaded) home.load(await opening.read(home.claimed));
        await scene.until(() => scene.target.leaseEndsAtMs > leaseEndsAtMs);
        cutNextHomeOff(scene);
        world.kill(home);
        await world.open();
        const isOver = (): boolean =>
          world.targets.clock.monotonicMs() > scene.target.leaseEndsAtMs - TICKS_MS;
        await scene.until(isOver);
        expect(scene.listRunning()).toHaveLength(1);
        expect(scene.countBegun()).toBe(1);
      }),
  );
});
