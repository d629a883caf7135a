import { describe, expect, it } from 'vitest';
import { type HomeWorld, makeEntry, makeJob, makeStep, useHomeWorld } from './HomeWorld.js';
import { TASK_NAME } from './lateRuns.js';
import { StartScene } from './StartScene.js';

const DONE_ONCE = { violations: [], state: 'completed', beginCount: 1 };

describe('a start or stop that takes effect late', () => {
  let world: HomeWorld;
  let scene: StartScene;

  useHomeWorld((created) => {
    world = created;
    scene = new StartScene(world);
  });

  /** Opens a home that places tasks on `t1`. */
  async function openOnFirst(): Promise<void> {
    await scene.open(['t1']);
    await scene.waitForTargets();
  }

  /** Submits the job `a`, of which `t1` neither answers nor carries out a start. */
  async function submitDelayed(taskCount = 1): Promise<void> {
    await openOnFirst();
    world.targets.setFaults('t1', { delaysStarts: true });
    await scene.home.submit(makeJob('a', [makeStep({ taskCount, isGang: taskCount > 1 })]));
    await scene.until(() => world.targets.countLateStarts('t1') === taskCount);
    await scene.placeOn([]);
  }

  /** Lets `t1` announce its leave, so that an unanswered start there is stopped. */
  async function leave(): Promise<void> {
    world.entries.set('t1', makeEntry('t1', { isDraining: true }));
    await scene.until(() => world.countEvents('targetDraining') > 0);
    scene.resumeReports();
  }

  // Guards against a task that never runs: its target refuses the run as old, as it accepted a stop
  // of it from the earlier home.
  it('starts anew if its target has stopped the run for an earlier home', async () => {
    await scene.submitHeld(makeJob('a'));
    world.store.faults.rejects = true;
    await leave();
    await scene.until(() => world.targets.stops.includes(TASK_NAME));
    scene.kill();
    world.store.faults.rejects = false;
    world.entries.set('t1', makeEntry('t1'));
    await scene.open([]);
    await scene.until(() => world.countEvents('startRefused') > 0);
    await scene.complete('a');
    world.targets.applyLateStarts('t1');
    expect(scene.describe('a')).toEqual(DONE_ONCE);
  });

  // Guards against a task that starts again after its end, which the earlier home heard of and did
  // not store: its target refuses the repeat of the next home as old.
  it('does not start anew if its target has ended the run under an earlier home', async () => {
    await scene.submitHeld(makeJob('a'));
    world.store.faults.rejects = true;
    world.targets.applyLateStarts('t1');
    world.targets.finish(TASK_NAME, 'done');
    scene.resumeReports();
    await scene.until(() => world.countEvents('taskEnded') > 0);
    scene.kill();
    world.store.faults.rejects = false;
    await scene.open([]);
    await scene.complete('a');
    expect(scene.describe('a')).toEqual(DONE_ONCE);
  });

  // Guards against a task that starts again after its end: the earlier home took a refusal for
  // proof, and heard of the end, and neither is stored when it is killed.
  it.each(['done', 'failed'] as const)(
    'keeps an end (%s) that came while the refusal of a repeat was not stored',
    async (end) => {
      await scene.submitHeld(makeJob('a'));
      await scene.passReport();
      world.store.faults.rejects = true;
      world.targets.setFaults('t1', { refusesStarts: 'unhealthy' });
      scene.resumeReports();
      await scene.until(() => world.countEvents('startRefused') > 0);
      world.targets.applyLateStarts('t1');
      if (world.targets.listRunning().length > 0) world.targets.finish(TASK_NAME, end);
      await scene.until(() => world.countEvents('appendRejected') > 10);
      scene.kill();
      world.store.faults.rejects = false;
      await scene.open([]);
      await scene.complete('a', end);
      const failedTwice = { ...DONE_ONCE, state: 'failed', beginCount: 2 };
      expect(scene.describe('a')).toEqual(end === 'done' ? DONE_ONCE : failedTwice);
    },
  );

  // Guards against a task that runs twice: its stop gets no answer, and the run ends by itself.
  it('is a stop without an answer, and the run ends before it', async () => {
    await scene.submitHeld(makeJob('a'));
    world.targets.setFaults('t1', { appliesStopsLate: true });
    await leave();
    await scene.until(() => world.targets.countLateStops('t1') > 0);
    await scene.placeOn(['t2']);
    world.targets.applyLateStarts('t1');
    await world.waitForRunning([TASK_NAME]);
    world.targets.finish(TASK_NAME, 'done');
    world.targets.applyLateStops('t1');
    await scene.complete('a');
    expect(scene.describe('a')).toEqual(DONE_ONCE);
  });

  // Guards against a task that runs twice: it goes elsewhere before its unanswered stop has effect.
  it('is a stop without an answer, and the task waits for it', async () => {
    await scene.submitHeld(makeJob('a'));
    world.targets.setFaults('t1', { appliesStopsLate: true });
    await leave();
    await scene.until(() => world.targets.countLateStops('t1') > 1);
    await scene.tryElsewhere();
    expect(world.targets.begun).toEqual([]);
    world.targets.applyLateStops('t1');
    world.targets.applyLateStarts('t1');
    expect(world.targets.begun).toEqual([]);
    await scene.complete('a');
    expect(scene.describe('a')).toEqual(DONE_ONCE);
  });

  // Guards against a task that runs twice: its accepted stop ends the run late, or not at all.
  it.each([
    ['done', 1],
    ['stopped', 2],
  ] as const)('is a slow stop, and the run ends %s', async (end, beginCount) => {
    await scene.submitHeld(makeJob('a'));
    await scene.passReport();
    world.targets.setFaults('t1', { stopsSlowly: true });
    world.targets.applyLateStarts('t1');
    await leave();
    await scene.until(() => world.targets.countLateStops('t1') > 0);
    await scene.tryElsewhere();
    expect(world.targets.begun).toHaveLength(1);
    if (end === 'done') world.targets.finish(TASK_NAME, end);
    world.targets.applyLateStops('t1');
    await scene.complete('a');
    expect(scene.describe('a')).toEqual({ ...DONE_ONCE, beginCount });
  });

  // Guards against a task that runs after its job was cancelled: its stop overtook its start.
  it.each(['at once', 'slowly'])('is a start that comes after its stop (%s)', async (speed) => {
    await submitDelayed();
    world.targets.setFaults('t1', { stopsSlowly: speed === 'slowly' });
    await scene.home.cancel('a');
    await scene.until(() => world.targets.stops.includes(TASK_NAME));
    world.targets.applyLateStarts('t1');
    await scene.complete('a');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'cancelled', beginCount: 0 });
  });

  // Guards against a gang member that runs twice: its start is under way when it is stopped as
  // another member was refused.
  it('is a start that comes after the stop of its gang', async () => {
    await scene.open(['t1', 't2']);
    await scene.waitForTargets();
    world.targets.setFaults('t1', { refusesStarts: 'unhealthy' });
    world.targets.setFaults('t2', { delaysStarts: true });
    const gang = makeStep({ taskCount: 2, isGang: true, maxTasksPerTarget: 1 });
    await scene.home.submit(makeJob('a', [gang]));
    await scene.until(() => world.targets.countLateStarts('t2') > 0);
    await scene.placeOn([]);
    await scene.until(() => world.targets.stops.length > 0);
    world.targets.setFaults('t2', { delaysStarts: false });
    world.targets.applyLateStarts('t2');
    expect(world.targets.begun).toEqual([]);
    await scene.complete('a');
    expect(scene.describe('a')).toEqual({ ...DONE_ONCE, beginCount: 2 });
  });

  // Guards against a task that starts twice: a report that does not show the run was asked for
  // before its start was answered.
  it.each([false, true])(
    'is answered after a report was asked for (answer lost: %s)',
    async (isLost) => {
      await openOnFirst();
      world.targets.setFaults('t1', { delaysStarts: !isLost, losesStartAnswers: isLost });
      await scene.delayReports();
      await scene.home.submit(makeJob('a'));
      if (!isLost) {
        await scene.until(() => world.targets.countLateStarts('t1') === 1);
        await scene.passReport();
        world.targets.setFaults('t1', { delaysStarts: false });
        world.targets.applyLateStarts('t1');
      }
      await world.waitForRunning([TASK_NAME]);
      await scene.placeOn(['t2']);
      scene.resumeReports();
      await scene.tryElsewhere();
      expect(world.targets.begun).toHaveLength(1);
      await scene.complete('a');
      expect(scene.describe('a')).toEqual(DONE_ONCE);
    },
  );

  // Guards against a task that starts again after its end: it begins and ends while a renewal is
  // held back, whose report shows neither.
  it.each([false, true])('begins and ends during one renewal (answer lost: %s)', async (isLost) => {
    await openOnFirst();
    world.targets.setFaults('t1', { losesStartAnswers: isLost });
    await scene.delayReports();
    await scene.home.submit(makeJob('a'));
    await world.waitForRunning([TASK_NAME]);
    world.targets.finish(TASK_NAME, 'done');
    scene.resumeReports();
    await scene.complete('a');
    expect(scene.describe('a')).toEqual(DONE_ONCE);
  });
});
