import { describe, expect, it } from 'vitest';
import { type HomeWorld, makeJob, makeStep, useHomeWorld } from './HomeWorld.js';
import { expectAllowedBegins, REFUSALS, REFUSED_RUNS, runLate } from './lateRuns.js';
import { StartScene } from './StartScene.js';

describe('a start without an answer whose repeat is refused', () => {
  let world: HomeWorld;
  let scene: StartScene;

  useHomeWorld((created) => {
    world = created;
    scene = new StartScene(world);
  });

  // Guards against a task that runs twice: its start took effect just before the repeat's refusal.
  it.each(REFUSED_RUNS)(
    'is carried out before the refusal (%s), and its run is %s',
    async (...run) => {
      const [reason, ending] = run;
      await scene.submitHeld(makeJob('a'));
      let late: Promise<void> | undefined;
      await scene.refuseRepeat(reason, () => {
        late = runLate(world, ending);
      });
      await late;
      await expectAllowedBegins(scene, world, run);
    },
  );

  // Guards against a task that starts again after its end: its target refused the repeat, the task
  // waited again, and the end of the late run was acknowledged and ignored.
  it.each(REFUSED_RUNS)(
    'is carried out after the refusal (%s), and its run is %s',
    async (...run) => {
      const [reason, ending] = run;
      await scene.submitHeld(makeJob('a'));
      await scene.refuseRepeat(reason);
      await runLate(world, ending);
      await expectAllowedBegins(scene, world, run);
    },
  );

  // Guards against a task that runs twice at a time: the refusal counted as proof that it doesn't
  // run, the task went to another target, and then the first start took effect.
  it.each(REFUSED_RUNS)(
    'is carried out after a new placement (%s), and its run is %s',
    async (...run) => {
      const [reason, ending] = run;
      await scene.submitHeld(makeJob('a'));
      await scene.refuseRepeat(reason);
      await scene.tryElsewhere();
      await runLate(world, ending);
      await expectAllowedBegins(scene, world, run);
    },
  );

  // Guards against a gang that starts again after its end, which was acknowledged and ignored.
  it.each(REFUSALS)('is carried out for a gang after the refusal (%s)', async (reason) => {
    await scene.submitHeld(makeJob('a', [makeStep({ taskCount: 2, isGang: true })]));
    await scene.refuseRepeat(reason);
    world.targets.applyLateStarts('t1');
    const late = world.targets.listRunning();
    late.forEach((taskName) => world.targets.finish(taskName, 'done'));
    await scene.complete('a');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'completed', beginCount: 2 });
  });

  // Guards against a task that starts again after its end elsewhere: its first start was forgotten
  // with the refusal of the repeat.
  it.each(REFUSALS)('is carried out after the end elsewhere (%s)', async (reason) => {
    await scene.submitHeld(makeJob('a'));
    await scene.refuseRepeat(reason);
    await scene.placeOn(['t2']);
    await world.waitForRunning(['a.0.0.0']);
    expect(world.targets.get('t2').runningNames).toEqual(['a.0.0.0']);
    await scene.complete('a');
    world.targets.applyLateStarts('t1');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'completed', beginCount: 1 });
  });

  // Guards against a task that never runs because a refusal settles nothing any more.
  it.each(REFUSALS)('is never carried out (%s), and its task runs elsewhere', async (reason) => {
    await scene.submitHeld(makeJob('a'));
    await scene.refuseRepeat(reason);
    await scene.placeOn(['t2']);
    await world.waitForRunning(['a.0.0.0']);
    await scene.complete('a');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'completed', beginCount: 1 });
  });
});
