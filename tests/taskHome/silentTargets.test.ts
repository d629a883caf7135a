import { describe, expect, it } from 'vitest';
import { type LeasedTargetFaults, TargetAccess } from '../../standins/leasedTargets/index.js';
import { makeStep } from './HomeWorld.js';
import { TASK_NAME } from './lateRuns.js';
import { playSilence, type Silence, type SilenceScene } from './SilenceScene.js';

/** The platform allows 6 s and 3 s from the end of a lease of 5 s until a task runs again. */
const MAX_LEASES_UNTIL_RETURN = 1.8;
/** Several homes follow one another, the last one after the lease has lapsed. */
const LEASES_PER_HOME = 0.5;
/** A home is replaced, and the target is heard again, with time left to renew its lease. */
const LEASES_UNTIL_EARLY_CHANGE = 0.25;
const LEASES_UNTIL_HEARD = 0.4;
const TARGET_IDS = ['t1', 't2'];
const SILENCES: readonly Silence[] = ['cut off', 'crashed', 'unhealthy'];
const HOME_CHANGE_COUNTS = [0, 1, 4];
const LASTING = makeStep({ isLongRunning: true });
/** More than half of a target, so that no two members are on the same one. */
const GANG = makeStep({
  taskCount: 2,
  isGang: true,
  demand: { cpuMillicores: 3_000, memoryMb: 100, gpuCount: 0 },
});
/** All that two targets have room for beside the one task of {@link LASTING}. */
const REST = makeStep({ taskCount: 7, isLongRunning: true });
const REST_ID = 'b';

/** Names how often the home changes, for the title of a test. */
function nameChanges(count: number): readonly [string, number] {
  return [count === 1 ? '1 change of home' : `${count} changes of home`, count];
}

const HOME_CHANGES = HOME_CHANGE_COUNTS.map(nameChanges);
const SILENT_CASES = SILENCES.flatMap((silence) =>
  HOME_CHANGES.map((change) => [silence, ...change] as const),
);
const STEP_CASES = [
  ['a batch task', makeStep(), TARGET_IDS] as const,
  ['the gang of a lost member', GANG, [...TARGET_IDS, 't3']] as const,
  ['a task with copies', makeStep({ mayRunCopies: true }), TARGET_IDS] as const,
].flatMap(([name, step, targetIds]) =>
  [0, 4].map((count) => [name, ...nameChanges(count), step, targetIds] as const),
);
const UNANSWERED: readonly (readonly [string, Partial<LeasedTargetFaults>])[] = [
  ['without an answer', { appliesStartsLate: true }],
  ['under way', { delaysStarts: true }],
];
const UNANSWERED_CASES = UNANSWERED.flatMap(([name, faults]) =>
  [0, 1].map((count) => [name, ...nameChanges(count), faults] as const),
);

/** Lets homes change while the target is silent, and expects the tasks on other ones in time. */
async function expectReturn(scene: SilenceScene, homeChangeCount: number): Promise<void> {
  const [leases] = await Promise.all([
    scene.measureReturn(),
    scene.changeHomes(homeChangeCount, LEASES_PER_HOME),
  ]);
  expect(leases).toBeLessThanOrEqual(MAX_LEASES_UNTIL_RETURN);
}

describe.concurrent('a target that is silent for good and stays listed', () => {
  // Guards against a task that runs nowhere for as long as its silent target is listed.
  it.each(SILENT_CASES)(
    'loses its long-running task in time (%s, %s)',
    (silence, _changes, homeChangeCount) =>
      playSilence(TARGET_IDS, async (scene) => {
        await scene.run(LASTING);
        scene.fallSilent(silence);
        await expectReturn(scene, homeChangeCount);
      }),
  );

  // Guards against work other than services that waits for a silent target for good.
  it.each(STEP_CASES)(
    'loses %s in time (%s)',
    (_name, _changes, homeChangeCount, step, targetIds) =>
      playSilence(targetIds, async (scene) => {
        await scene.run(step);
        scene.fallSilent('cut off');
        const broken = step.isGang ? scene.breakGang() : undefined;
        await expectReturn(scene, homeChangeCount);
        await broken;
      }),
  );
});

describe.concurrent('a target that is silent for good and is no longer listed', () => {
  // Guards against homes that follow one another and each wait anew for an inherited lease.
  it.each(SILENT_CASES)(
    'loses its long-running task in time (%s, %s)',
    (silence, _changes, homeChangeCount) =>
      playSilence(TARGET_IDS, async (scene) => {
        await scene.run(LASTING);
        scene.fallSilent(silence);
        scene.unlist();
        await expectReturn(scene, homeChangeCount);
      }),
  );
});

describe.concurrent('a listed target that is silent for a while', () => {
  // Guards against a task that is given up before the lease of its target has ended.
  it.each([0, 1].map(nameChanges))(
    'keeps its task if it is heard in time (%s)',
    (_changes, count) =>
      playSilence(TARGET_IDS, async (scene) => {
        await scene.run(LASTING);
        scene.fallSilent('cut off');
        const { leaseEndsAtMs } = scene.target;
        await scene.changeHomes(count, LEASES_UNTIL_EARLY_CHANGE);
        await scene.waitSinceSilence(LEASES_UNTIL_HEARD);
        scene.comeBack();
        await scene.waitSinceSilence(1 + MAX_LEASES_UNTIL_RETURN);
        expect(scene.target.leaseEndsAtMs).toBeGreaterThan(leaseEndsAtMs);
        expect(scene.target.runningNames).toEqual([TASK_NAME]);
        expect(scene.countBegun()).toBe(1);
      }),
  );

  // Guards against a task that runs twice, or a target without tasks, after a lapse.
  it.each(['cut off', 'unhealthy'] as const)(
    'runs its task once and takes others if it is heard after a lapse (%s)',
    (silence) =>
      playSilence(TARGET_IDS, async (scene) => {
        await scene.run(LASTING);
        scene.fallSilent(silence);
        await scene.waitSinceLapse(MAX_LEASES_UNTIL_RETURN);
        scene.comeBack();
        await scene.until(() => scene.listRunning().length === 1);
        await scene.submitOther(REST_ID, REST);
        const { targets } = scene.world;
        await scene.until(() => targets.listRunning().length === 1 + REST.taskCount);
        expect(scene.countBegun()).toBe(2);
      }),
  );

  // Guards against a task that runs twice: a start takes effect after its task was given up.
  it.each(UNANSWERED_CASES)(
    'carries out no start from before a lapse beside a later run (%s, %s)',
    (_name, _changes, homeChangeCount, faults) =>
      playSilence(TARGET_IDS, async (scene) => {
        const { targets } = scene.world;
        await scene.open();
        TARGET_IDS.forEach((targetId) => targets.setFaults(targetId, faults));
        await scene.submit(LASTING);
        const findHolder = () => TARGET_IDS.find((targetId) => targets.countLateStarts(targetId));
        await scene.until(() => findHolder() !== undefined);
        scene.choose(findHolder()!);
        scene.fallSilent('cut off');
        const noFaults = { appliesStartsLate: false, delaysStarts: false };
        TARGET_IDS.forEach((targetId) => targets.setFaults(targetId, noFaults));
        await scene.changeHomes(homeChangeCount, LEASES_UNTIL_EARLY_CHANGE);
        await scene.waitSinceLapse(MAX_LEASES_UNTIL_RETURN);
        const { leaseEndsAtMs } = scene.target;
        scene.comeBack();
        await scene.until(() => scene.target.leaseEndsAtMs > leaseEndsAtMs);
        targets.applyLateStarts();
        await scene.until(() => scene.listRunning().length === 1);
        expect(scene.countBegun()).toBe(1);
      }),
  );

  // Guards against a task that runs twice: an earlier home renews the lease of its target.
  it('has ended its run before another one begins, though an earlier home goes on', () =>
    playSilence(TARGET_IDS, async (scene) => {
      const { world } = scene;
      const earlier = new TargetAccess(world.targets);
      const later = new TargetAccess(world.targets);
      world.access = earlier;
      await scene.run(LASTING);
      // A target that the next home reaches would tell the earlier home that it is replaced.
      scene.otherIds.forEach((targetId) => earlier.unreachableTargets.add(targetId));
      later.unreachableTargets.add(scene.targetId);
      world.access = later;
      await world.open();
      scene.noteSilence();
      await scene.waitSinceSilence(1 + MAX_LEASES_UNTIL_RETURN);
      expect(scene.target.runningNames).toEqual([]);
      expect(scene.target.lapsedRuns).toHaveLength(1);
      const termBefore = scene.target.knownTerm;
      later.unreachableTargets.clear();
      await scene.until(() => scene.target.knownTerm > termBefore);
      await scene.until(() => scene.listRunning().length === 1);
      await scene.waitSinceSilence(2 + MAX_LEASES_UNTIL_RETURN);
      expect(scene.listRunning()).toEqual([TASK_NAME]);
      expect(scene.countBegun()).toBe(2);
    }));
});
