import { describe, expect, it } from 'vitest';
import type { StartRefusal } from '../../src/targets/index.js';
import { type HomeWorld, makeJob, useHomeWorld } from './HomeWorld.js';
import { expectAllowedBegins, REFUSALS, REFUSED_RUNS, runLate } from './lateRuns.js';
import { StartScene } from './StartScene.js';

describe('a start without an answer before a change of homes', () => {
  let world: HomeWorld;
  let scene: StartScene;

  useHomeWorld((created) => {
    world = created;
    scene = new StartScene(world);
  });

  /** Opens the next home, whose first report of `t1` is held up. */
  async function replaceHome(): Promise<void> {
    scene.kill();
    world.targets.setFaults('t1', { delaysReports: true });
    world.targets.deliverLateReports('t1');
    await scene.open([]);
    await scene.until(() => world.targets.get('t1').knownTerm === scene.home.term);
  }

  async function refuseTo(reason: StartRefusal): Promise<void> {
    world.targets.setFaults('t1', { refusesStarts: reason });
    scene.resumeReports();
    await scene.until(() => world.countEvents('startRefused') > 0);
    await scene.placeOn([]);
  }

  /** Lets `t1` hold up a start of each of two homes, and refuse a further one of the second. */
  async function refuseAfterSecondHold(reason: StartRefusal): Promise<void> {
    await scene.submitHeld(makeJob('a'));
    await replaceHome();
    await scene.passReport();
    await scene.until(() => world.targets.countLateStarts('t1') === 2);
    await refuseTo(reason);
  }

  // Guards against a task that starts again after its end: the refusal of the earlier home was
  // stored as a task that waits, and the next home ignored the end of its late run.
  it.each(REFUSED_RUNS)(
    'is carried out between the homes after the refusal (%s), and its run is %s',
    async (...run) => {
      const [reason, ending] = run;
      await scene.submitHeld(makeJob('a'));
      await scene.refuseRepeat(reason);
      scene.kill();
      const late = runLate(world, ending);
      await scene.open([]);
      await late;
      await expectAllowedBegins(scene, world, run);
    },
  );

  // Guards against a task that runs twice at a time: the next home placed it elsewhere before it
  // had reached the target that still holds the first start.
  it.each(REFUSED_RUNS)(
    'is carried out after a placement by the next home (%s), and its run is %s',
    async (...run) => {
      const [reason, ending] = run;
      await scene.submitHeld(makeJob('a'));
      await scene.refuseRepeat(reason);
      scene.kill();
      world.targets.setFaults('t1', { isCutOff: true });
      await scene.open([]);
      await scene.tryElsewhere();
      const late = runLate(world, ending);
      world.targets.setFaults('t1', { isCutOff: false });
      await late;
      await expectAllowedBegins(scene, world, run);
    },
  );

  // Guards against a late start that a new home does not fence off.
  it.each(REFUSALS)('is refused once its target knows the next home (%s)', async (reason) => {
    await scene.submitHeld(makeJob('a'));
    await scene.refuseRepeat(reason);
    await replaceHome();
    world.targets.applyLateStarts('t1');
    expect(world.targets.begun).toEqual([]);
    await scene.complete('a');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'completed', beginCount: 1 });
  });

  // Guards against a task that runs twice: the next home adopts the run, and is refused.
  it.each(REFUSED_RUNS)(
    'is carried out before a refusal to the next home (%s), and its run is %s',
    async (...run) => {
      const [reason, ending] = run;
      await scene.submitHeld(makeJob('a'));
      scene.kill();
      world.targets.setFaults('t1', { delaysReports: false, refusesStarts: reason });
      const late = runLate(world, ending);
      await scene.open([]);
      await late;
      await expectAllowedBegins(scene, world, run);
    },
  );

  // Guards against a task that runs twice: the next home is refused, and the start of the earlier
  // one is carried out all the same.
  it.each(REFUSALS)('is refused after a refusal to the next home (%s)', async (reason) => {
    await scene.submitHeld(makeJob('a'));
    world.targets.setFaults('t1', { appliesFirstStartsLate: false });
    await replaceHome();
    await refuseTo(reason);
    await scene.tryElsewhere();
    world.targets.applyLateStarts('t1');
    expect(world.targets.begun.filter(({ targetId }) => targetId === 't1')).toEqual([]);
    await scene.complete('a');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'completed', beginCount: 1 });
  });

  // Guards against a task that starts again after its end: the repeat of the next home is held up,
  // too, and a further repeat is refused.
  it.each(REFUSED_RUNS)(
    'is held up again, and carried out after the refusal (%s), and its run is %s',
    async (...run) => {
      const [reason, ending] = run;
      await refuseAfterSecondHold(reason);
      await runLate(world, ending);
      await expectAllowedBegins(scene, world, run);
    },
  );

  // Guards against a task that runs twice at a time: the same, after it has gone elsewhere.
  it.each(REFUSED_RUNS)(
    'is held up again, and carried out after a new placement (%s), and its run is %s',
    async (...run) => {
      const [reason, ending] = run;
      await refuseAfterSecondHold(reason);
      await scene.tryElsewhere();
      await runLate(world, ending);
      await expectAllowedBegins(scene, world, run);
    },
  );
});
