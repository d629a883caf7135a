import { describe, expect, it } from 'vitest';
import type { DurableJobSpec } from '../../src/jobs/index.js';
import {
  EMPTY_SYNC_REQUEST,
  type HomeWorld,
  makeEntry,
  makeJob,
  makeStep,
  useHomeWorld,
} from './HomeWorld.js';
import { TASK_NAME } from './lateRuns.js';
import { StartScene } from './StartScene.js';

/** Short where a lease has to lapse; otherwise none does within a test. */
const LEASE_MS = { lapsed: 400, unlisted: 60_000 } as const;
const LOSSES = ['lapsed', 'unlisted'] as const;
/** Where a task is when the target comes back on which it has ended. */
const PLACES = ['waits', 'is placed elsewhere, unsent', 'is being started elsewhere'] as const;

type Loss = (typeof LOSSES)[number];
type Place = (typeof PLACES)[number];

const LOST_RUNS = LOSSES.flatMap((loss) => PLACES.map((place) => [loss, place] as const));

describe('the end of a run on a target that counted as lost', () => {
  let world: HomeWorld;
  let scene: StartScene;

  useHomeWorld((created) => {
    world = created;
    scene = new StartScene(world);
  });

  /** Runs a job on `t1`, where its tasks end, or go on, without anybody who hears of it. */
  async function endUnheard(job: DurableJobSpec, end?: 'done' | 'failed'): Promise<void> {
    await scene.open(['t1']);
    await scene.waitForTargets();
    await scene.home.submit(job);
    const { taskCount } = job.steps[0]!;
    await scene.until(() => world.targets.get('t1').runningNames.length === taskCount);
    await scene.placeOn([]);
    world.targets.setFaults('t1', { isCutOff: true });
    if (end === undefined) return;
    world.targets.get('t1').runningNames.forEach((name) => world.targets.finish(name, end));
  }

  /** Lets `t1` count as lost after its tasks may have ended, so that they wait again. */
  async function lose(loss: Loss, job: DurableJobSpec, end?: 'done' | 'failed'): Promise<void> {
    world.leaseMs = LEASE_MS[loss];
    await endUnheard(job, end);
    if (loss === 'lapsed') {
      world.entries.delete('t1');
      await scene.until(() => world.countEvents('targetGone') === 1);
      return;
    }
    const drainedTargets = ['t1', 't2'];
    await scene.home.syncPool({ ...EMPTY_SYNC_REQUEST, drainedTargets, endedTargets: ['t1'] });
    scene.kill();
    await scene.open([]);
    await scene.waitForFresh(1);
  }

  async function goTo(place: Place): Promise<void> {
    if (place === 'waits') return;
    const isSent = place === 'is being started elsewhere';
    world.store.faults.rejects = !isSent;
    world.targets.setFaults('t2', { delaysStarts: true });
    void scene.placeOn(['t2']);
    await scene.until(() =>
      isSent
        ? world.targets.countLateStarts('t2') > 0
        : world.countEvents('taskPlaced') > world.targets.begun.length,
    );
  }

  /** Lets `t1` come back, and waits until its ends are acknowledged. */
  async function comeBack(): Promise<void> {
    world.entries.set('t1', makeEntry('t1'));
    world.targets.setFaults('t1', { isCutOff: false });
    void scene.placeOn([]);
    await scene.waitForTargets();
    world.store.faults.rejects = false;
    await scene.until(() => world.targets.get('t1').unacknowledged.length === 0);
    world.targets.setFaults('t2', { delaysStarts: false });
    world.targets.applyLateStarts('t2');
  }

  // Guards against a task that starts again after its acknowledged end, as nobody expected the end.
  it.each(LOST_RUNS)('is the truth (%s, and the task %s)', async (loss, place) => {
    await lose(loss, makeJob('a'), 'done');
    await goTo(place);
    await comeBack();
    await scene.complete('a');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'completed', beginCount: 1 });
  });

  // Guards against a failure that counts twice, as each new home hears of it until acknowledged.
  it.each(PLACES)('is no attempt if it failed before a lapse (the task %s)', async (place) => {
    await lose('lapsed', makeJob('a'), 'failed');
    await goTo(place);
    await comeBack();
    await scene.complete('a', 'failed');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'failed', beginCount: 3 });
  });

  // Guards against a task with too many attempts, as a failure was acknowledged and ignored.
  it.each(PLACES)(
    'counts as an attempt if it failed (unlisted, and the task %s)',
    async (place) => {
      await lose('unlisted', makeJob('a'), 'failed');
      await goTo(place);
      await comeBack();
      await scene.complete('a', 'failed');
      expect(scene.describe('a')).toEqual({ violations: [], state: 'failed', beginCount: 2 });
    },
  );

  // Guards against a job that fails too early, as each new home counts a failure that it hears of.
  it('counts as one attempt if it failed, however many homes hear of it', async () => {
    await lose('unlisted', makeJob('a'), 'failed');
    world.targets.setFaults('t1', { ignoresAcknowledgements: true });
    world.entries.set('t1', makeEntry('t1'));
    world.targets.setFaults('t1', { isCutOff: false });
    await scene.until(() => world.countEvents('endsStored') === 1);
    scene.kill();
    await scene.open([]);
    await scene.until(() => world.countEvents('endsStored') === 2);
    await scene.complete('a', 'failed');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'failed', beginCount: 2 });
  });

  // Guards against a gang that starts again after its acknowledged end.
  it.each(LOST_RUNS)('is the truth about a gang (%s, and the gang %s)', async (loss, place) => {
    await lose(loss, makeJob('a', [makeStep({ taskCount: 2, isGang: true })]), 'done');
    await goTo(place);
    await comeBack();
    await scene.complete('a');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'completed', beginCount: 2 });
  });

  // Guards against a step that is started again after all of its tasks have ended.
  it.each(LOST_RUNS)('lets the next step begin (%s, and the tasks: %s)', async (loss, place) => {
    const steps = [makeStep({ taskCount: 2 }), makeStep({ afterSteps: [0] })];
    await lose(loss, makeJob('a', steps), 'done');
    await goTo(place);
    await comeBack();
    await scene.complete('a');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'completed', beginCount: 3 });
  });

  // Guards against a task that starts again after its end, which came before the stop of its run.
  it.each(PLACES)('is the truth about a run that is being stopped (the task %s)', async (place) => {
    await lose('unlisted', makeJob('a'));
    await goTo(place);
    world.targets.setFaults('t1', { isCutOff: false, appliesStopsLate: true });
    await scene.until(() => world.targets.countLateStops('t1') > 0);
    world.targets.finish(TASK_NAME, 'done');
    await comeBack();
    world.targets.applyLateStops('t1');
    await scene.complete('a');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'completed', beginCount: 1 });
  });

  // Guards against a run that goes on after the end of its task is known.
  it('stops a newer run of the task', async () => {
    await lose('lapsed', makeJob('a'), 'done');
    await scene.placeOn(['t2']);
    await world.waitForRunning([TASK_NAME]);
    await comeBack();
    await world.waitForRunning([]);
    await scene.complete('a');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'completed', beginCount: 2 });
  });

  // Guards against a job that is completed, or a task that begins, after the job was cancelled.
  it.each(LOSSES)('is only acknowledged if the job was cancelled (%s)', async (loss) => {
    await lose(loss, makeJob('a'), 'done');
    await scene.home.cancel('a');
    await comeBack();
    await scene.complete('a');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'cancelled', beginCount: 1 });
  });

  // Guards against a failed job that is completed, or of which a task begins, after its failure.
  it('is only acknowledged if the job has failed', async () => {
    await lose('lapsed', makeJob('a', [makeStep({ taskCount: 2 })]), 'done');
    await scene.placeOn(['t2']);
    await world.waitForRunning([TASK_NAME, 'a.0.0.1']);
    world.targets.finish(TASK_NAME, 'failed');
    await scene.until(() => world.targets.begun.length === 5);
    world.targets.finish(TASK_NAME, 'failed');
    await scene.until(() => scene.home.getState('a') === 'failed');
    await world.waitForRunning([]);
    await comeBack();
    await scene.complete('a');
    expect(scene.describe('a')).toEqual({ violations: [], state: 'failed', beginCount: 5 });
  });
});
