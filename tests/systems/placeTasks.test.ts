import { describe, expect, it } from 'vitest';
import {
  advanceOccurrences,
  beginJob,
  createJobRow,
  type DurableJobRow,
  placeTask,
  type StepSpec,
} from '../../src/jobs/index.js';
import {
  listReadyTasks,
  type Mechanism,
  orderJobs,
  type PlacementTarget,
  placeTasks,
  RunTimes,
  disableMechanisms,
} from '../../src/systems/index.js';
import { makeEntry, makeJob, makeStep } from '../taskHome/HomeWorld.js';

const NOW_MS = 1_000_000;

function makeTarget(targetId: string, changes: Partial<PlacementTarget> = {}): PlacementTarget {
  return { ...makeEntry(targetId), takesTasks: true, ...changes };
}

function makeRow(jobId: string, steps: readonly StepSpec[]): DurableJobRow {
  return createJobRow(makeJob(jobId, steps));
}

function place(jobs: readonly DurableJobRow[], targets: readonly PlacementTarget[]) {
  const getFailedTargets = () => new Set<string>();
  return placeTasks({
    jobs,
    allocatedJobs: jobs,
    targets,
    getFailedTargets,
    nowMs: NOW_MS,
  });
}

describe('placeTasks', () => {
  it('fills a target only as far as it has room', () => {
    const row = makeRow('a', [makeStep({ taskCount: 9 })]);
    expect(place([row], [makeTarget('t1'), makeTarget('t2')])).toHaveLength(8);
  });

  it('counts no processor for best-effort tasks', () => {
    const demand = { cpuMillicores: 4_000, memoryMb: 5_000, gpuCount: 0 };
    const row = makeRow('a', [makeStep({ taskCount: 3, demand, isBestEffort: true })]);
    expect(place([row], [makeTarget('t1')])).toHaveLength(2);
  });

  it('keeps to the limit of a step on one target', () => {
    const row = makeRow('a', [makeStep({ taskCount: 3, maxTasksPerTarget: 1 })]);
    const placed = place([row], [makeTarget('t1'), makeTarget('t2')]);
    expect(placed.map(({ targetId }) => targetId).toSorted()).toEqual(['t1', 't2']);
  });

  it('places nothing outside of the pool, without the label, or on targets that take no tasks', () => {
    const row = makeRow('a', [makeStep({ requiredLabel: 'ssd' })]);
    const targets = [
      makeTarget('t1', { pool: 'other', labels: ['ssd'] }),
      makeTarget('t2'),
      makeTarget('t3', { labels: ['ssd'], takesTasks: false }),
    ];
    expect(place([row], targets)).toEqual([]);
    expect(place([row], [...targets, makeTarget('t4', { labels: ['ssd'] })])).toHaveLength(1);
  });

  describe('on a target that is slow or fails', () => {
    const short = makeStep({ taskCount: 2 });
    const placeOn = (step: StepSpec, target: PlacementTarget, mayProbe = true) =>
      placeTasks({
        jobs: [makeRow('a', [step])],
        allocatedJobs: [],
        targets: [target],
        getFailedTargets: () => new Set<string>(),
        mayProbe: () => mayProbe,
        nowMs: NOW_MS,
      });

    it('places nothing while another one has room', () => {
      const targets = [makeTarget('t1', { intake: 'probes' }), makeTarget('t2')];
      const placed = place([makeRow('a', [short])], targets);
      expect(placed.map(({ targetId }) => targetId)).toEqual(['t2', 't2']);
    });

    it('places one task at a time, of a job that bears it', () => {
      const target = makeTarget('t1', { intake: 'probes' });
      expect(placeOn(short, target)).toHaveLength(1);
      expect(placeOn(short, target, false)).toEqual([]);
      expect(placeOn(makeStep({ taskCount: 2, isGang: true }), target)).toEqual([]);
    });

    // Guards against a service that stays down while the only room is on an avoided target.
    it.each(['probes', 'services'] as const)('places services (%s)', (intake) => {
      const target = makeTarget('t1', { intake });
      expect(placeOn(makeStep({ taskCount: 2, isLongRunning: true }), target)).toHaveLength(2);
    });

    it('places no other task right after it was found', () => {
      expect(placeOn(short, makeTarget('t1', { intake: 'services' }))).toEqual([]);
    });
  });

  it('prefers the rack of the data', () => {
    const row = makeRow('a', [makeStep({ dataRack: 'r2' })]);
    const targets = [makeTarget('t1'), makeTarget('t2', { rack: 'r2' }), makeTarget('t3')];
    expect(place([row], targets)[0]?.targetId).toBe('t2');
  });

  it('prefers a target on which the task has not failed', () => {
    const row = makeRow('a', [makeStep()]);
    const failed = { ...row, tasks: row.tasks.map((task) => ({ ...task, failureCount: 1 })) };
    const placed = placeTasks({
      jobs: [failed],
      allocatedJobs: [failed],
      targets: [makeTarget('t1'), makeTarget('t2')],
      getFailedTargets: () => new Set(['t1']),
      nowMs: NOW_MS,
    });
    expect(placed[0]?.targetId).toBe('t2');
  });

  // Guards against a gang whose attempts all fail on one target, member by member.
  it('keeps a whole gang off the targets on which one of its members has failed', () => {
    const row = makeRow('a', [makeStep({ taskCount: 2, isGang: true })]);
    const tasks = row.tasks.map((task, position) => ({ ...task, failureCount: 1 - position }));
    const failed = { ...row, tasks };
    const placed = placeTasks({
      jobs: [failed],
      allocatedJobs: [failed],
      targets: [makeTarget('t1'), makeTarget('t2')],
      getFailedTargets: (_jobId, position) => new Set(position === 0 ? ['t1'] : []),
      nowMs: NOW_MS,
    });
    expect(placed.map(({ targetId }) => targetId)).toEqual(['t2', 't2']);
  });

  it('counts the tasks of finished jobs until they have ended', () => {
    const row = makeRow('a', [makeStep({ taskCount: 4 })]);
    const tasks = row.tasks.map((task) => ({ ...task, phase: 'placed' as const, targetId: 't1' }));
    const cancelled = { ...row, state: 'cancelled' as const, tasks };
    const next = makeRow('b', [makeStep()]);
    const placed = placeTasks({
      jobs: [next],
      allocatedJobs: [cancelled, next],
      targets: [makeTarget('t1')],
      getFailedTargets: () => new Set(),
      nowMs: NOW_MS,
    });
    expect(placed).toEqual([]);
  });
});

describe('listReadyTasks', () => {
  it('holds a step back until all tasks before it are done', () => {
    const row = makeRow('a', [makeStep({ taskCount: 2 }), makeStep({ afterSteps: [0] })]);
    expect(listReadyTasks(row, NOW_MS).map(({ step }) => step)).toEqual([0]);
    const half = row.tasks.with(0, { ...row.tasks[0]!, phase: 'done' });
    expect(listReadyTasks({ ...row, tasks: half }, NOW_MS).map(({ step }) => step)).toEqual([0]);
    const done = half.with(1, { ...row.tasks[1]!, phase: 'done' });
    expect(listReadyTasks({ ...row, tasks: done }, NOW_MS).map(({ step }) => step)).toEqual([1]);
  });

  it('holds an occurrence back until it is due', () => {
    const spec = {
      ...makeJob('a'),
      schedule: { occurrenceCount: 3, firstDueAtMs: NOW_MS - 1, intervalMs: 500 },
    };
    const row = advanceOccurrences(createJobRow(spec), NOW_MS + 499, 100);
    expect(listReadyTasks(row, NOW_MS).map(({ occurrence }) => occurrence)).toEqual([0]);
    expect(listReadyTasks(row, NOW_MS + 499)).toHaveLength(2);
  });

  it('lists nothing of a finished job', () => {
    expect(listReadyTasks({ ...makeRow('a', [makeStep()]), state: 'failed' }, NOW_MS)).toEqual([]);
  });
});

describe('orderJobs', () => {
  it('puts long-running jobs first, then priority, then the earliest objective', () => {
    const late = makeRow('late', [makeStep({ estimatedRunMs: 5_000 })]);
    const early = makeRow('early', [makeStep()]);
    const spec = makeJob('low');
    const low = createJobRow({ ...spec, terms: { ...spec.terms, priority: 1 } });
    const service = makeRow('service', [makeStep({ isLongRunning: true })]);
    const options = { runTimes: new RunTimes(), nowMs: Date.now() };
    const order = orderJobs([late, low, early, service], options).map((row) => row.spec.jobId);
    expect(order).toEqual(['service', 'early', 'late', 'low']);
  });

  // Guards against wide jobs that stall: in a load peak, jobs with many tasks were served half as
  // often as others, since after their first tasks, smaller and later jobs with an earlier
  // objective took the capacity.
  it('puts jobs that have begun before those that have not', () => {
    const wide = makeRow('begun', [makeStep({ taskCount: 9, estimatedRunMs: 5_000 })]);
    const begun = beginJob(placeTask(wide, 0, 't'));
    const small = makeRow('small', [makeStep()]);
    const options = { runTimes: new RunTimes(), nowMs: Date.now() };
    const listIds = (off: readonly Mechanism[]): readonly string[] =>
      orderJobs([small, begun], { ...options, mechanisms: disableMechanisms(off) }).map(
        ({ spec }) => spec.jobId,
      );
    expect(listIds([])).toEqual(['begun', 'small']);
    expect(listIds(['started-jobs-first'])).toEqual(['small', 'begun']);
  });

  // Guards against jobs that are all served at the last moment: at the start of a load peak each
  // job waited until its latest start time, and as estimates are off by half, about every second
  // one was late.
  it('puts the newest first once jobs have waited for half of their time', () => {
    const nowMs = Date.now();
    const makeAged = (jobId: string, ageMs: number): DurableJobRow =>
      createJobRow({ ...makeJob(jobId), submittedAtMs: nowMs - ageMs });
    const { terms } = makeJob('any');
    const slackMs = (terms.stretch - 1) * makeStep().estimatedRunMs + terms.targetDurationMs;
    const listIds = (oldestMs: number): readonly string[] =>
      orderJobs([makeAged('old', oldestMs), makeAged('new', 1)], {
        runTimes: new RunTimes(),
        nowMs,
      }).map(({ spec }) => spec.jobId);
    expect(listIds(0.4 * slackMs)).toEqual(['old', 'new']);
    expect(listIds(0.6 * slackMs)).toEqual(['new', 'old']);
  });

  // Guards against order by objective alone: in a load peak nearly every page save was late, since
  // the capacity always went to the one with the earliest objective, which could no longer meet it.
  it('puts jobs that are too late for their objective last', () => {
    const nowMs = Date.now();
    const tooLate = { ...makeJob('tooLate'), submittedAtMs: nowMs - 10_000 };
    const fresh = createJobRow({ ...makeJob('fresh'), submittedAtMs: nowMs });
    const options = { runTimes: new RunTimes(), nowMs };
    const order = orderJobs([createJobRow(tooLate), fresh], options);
    expect(order.map((row) => row.spec.jobId)).toEqual(['fresh', 'tooLate']);
  });
});
