import { describe, expect, it } from 'vitest';
import { type HomeWorld, makeJob, makeStep, useHomeWorld } from './HomeWorld.js';
import { StartScene } from './StartScene.js';

const TASK_COUNT = 3;

describe('ends of which a report lists only some', () => {
  let world: HomeWorld;
  let scene: StartScene;

  useHomeWorld((created) => {
    world = created;
    scene = new StartScene(world);
  });

  // Guards against tasks that start again after their ends, as a report had no room for these.
  it.each([1, 2, 3])('are all known in the end (%i at a time)', async (maxListedEndCount) => {
    const target = world.targets.get('t1');
    target.maxListedEndCount = maxListedEndCount;
    await scene.open(['t1']);
    await scene.waitForTargets();
    await scene.home.submit(makeJob('a', [makeStep({ taskCount: TASK_COUNT })]));
    await scene.until(() => target.runningNames.length === TASK_COUNT);
    // A report that was asked for after the answers to the starts tells of the runs.
    await scene.delayReports();
    await scene.passReport();
    target.runningNames.forEach((taskName) => world.targets.finish(taskName, 'done'));
    await scene.complete('a');
    const outcome = { violations: [], state: 'completed', beginCount: TASK_COUNT };
    expect(scene.describe('a')).toEqual(outcome);
  });

  // Guards against a run that is started twice, as a report without all ends doesn't tell of it.
  it('hide no run that goes on', async () => {
    const target = world.targets.get('t1');
    await scene.open(['t1']);
    await scene.waitForTargets();
    world.targets.setFaults('t1', { ignoresAcknowledgements: true, losesStartAnswers: true });
    target.maxListedEndCount = 1;
    await scene.home.submit(makeJob('a', [makeStep({ taskCount: 2 })]));
    await scene.until(() => target.runningNames.length === 2);
    world.targets.finish('a.0.0.0', 'done');
    await scene.until(() => world.countEvents('endsStored') > 0);
    await scene.complete('a');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'completed', beginCount: 2 });
  });
});
