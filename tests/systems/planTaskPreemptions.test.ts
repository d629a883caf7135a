import { describe, expect, it } from 'vitest';
import {
  createJobRow,
  type DurableJobRow,
  placeTask,
  type QueueTerms,
  type StepSpec,
} from '../../src/jobs/index.js';
import {
  OrganisationRooms,
  type PlacementTarget,
  planTaskPreemptions,
  type PreemptibleRun,
  RunTimes,
} from '../../src/systems/index.js';
import { estimateStartByMs } from '../../src/systems/estimateStartByMs.js';
import { makeEntry, makeJob, makeStep, TERMS } from '../taskHome/HomeWorld.js';

const NOW_MS = 1_000_000;
const LONG_RUN_MS = 4_000;
const LARGE = { cpuMillicores: 2_000, memoryMb: 100, gpuCount: 0 };

const TARGETS: readonly PlacementTarget[] = ['t1', 't2'].map((targetId) => ({
  ...makeEntry(targetId),
  takesTasks: true,
}));

function makeRow(
  jobId: string,
  step: Partial<StepSpec>,
  terms: Partial<QueueTerms> = {},
): DurableJobRow {
  const spec = makeJob(jobId, [makeStep({ estimatedRunMs: LONG_RUN_MS, ...step })]);
  return createJobRow({ ...spec, submittedAtMs: NOW_MS, terms: { ...TERMS, ...terms } });
}

/** A job of a less urgent queue whose tasks are placed on the given targets. */
function makeBatch(jobId: string, targetIds: readonly string[], step: Partial<StepSpec> = {}) {
  const row = makeRow(
    jobId,
    { taskCount: targetIds.length, demand: LARGE, isCheckpointing: true, ...step },
    { priority: 1 },
  );
  return targetIds.reduce(
    (placed, targetId, position) => placeTask(placed, position, targetId),
    row,
  );
}

function plan(
  waitingJobs: readonly DurableJobRow[],
  placedJobs: readonly DurableJobRow[],
  getRun: (row: DurableJobRow, position: number) => PreemptibleRun = () => ({
    type: 'running',
    progressPercent: 25,
  }),
  targets: readonly PlacementTarget[] = TARGETS,
) {
  const allocatedJobs = [...waitingJobs, ...placedJobs];
  return planTaskPreemptions({
    waitingJobs,
    allocatedJobs,
    targets,
    runTimes: new RunTimes(),
    rooms: new OrganisationRooms(allocatedJobs, () => undefined),
    getRun,
    nowMs: NOW_MS,
    dueAtMs: NOW_MS,
  });
}

const FULL = ['t1', 't1', 't2', 't2'] as const;

describe('planTaskPreemptions', () => {
  it('stops as many less urgent tasks as the waiting ones need', () => {
    const urgent = makeRow('urgent', { taskCount: 2, demand: LARGE });
    const planned = plan([urgent], [makeBatch('batch', FULL)]);
    expect(planned.map(({ jobId, forJobId }) => [jobId, forJobId])).toEqual([
      ['batch', 'urgent'],
      ['batch', 'urgent'],
    ]);
  });

  it('stops nothing where there is room', () => {
    const urgent = makeRow('urgent', { demand: LARGE });
    expect(plan([urgent], [makeBatch('batch', ['t1', 't1', 't2'])])).toEqual([]);
  });

  it('stops nothing of an equally urgent queue', () => {
    const waiting = makeRow('waiting', { demand: LARGE }, { priority: 1 });
    expect(plan([waiting], [makeBatch('batch', FULL)])).toEqual([]);
  });

  // Failure: each round stops further tasks while the first ones are still ending.
  it('counts the room that earlier stops are about to free', () => {
    const urgent = makeRow('urgent', { demand: LARGE });
    const planned = plan([urgent], [makeBatch('batch', FULL)], (_row, position) =>
      position === 0 ? { type: 'stopping' } : { type: 'running', progressPercent: 25 },
    );
    expect(planned).toEqual([]);
  });

  it('prefers tasks with checkpoints, then those that have done least', () => {
    const urgent = makeRow('urgent', { demand: LARGE });
    const lossy = makeBatch('lossy', ['t1', 't1'], { isCheckpointing: false });
    const saving = makeBatch('saving', ['t2', 't2']);
    expect(plan([urgent], [lossy, saving]).map(({ jobId }) => jobId)).toEqual(['saving']);
    const other = makeBatch('other', ['t2', 't2'], { isCheckpointing: false });
    const getRun = ({ spec }: DurableJobRow): PreemptibleRun => ({
      type: 'running',
      progressPercent: spec.jobId === 'other' ? 10 : 40,
    });
    expect(plan([urgent], [lossy, other], getRun).map(({ jobId }) => jobId)).toEqual(['other']);
  });

  it('leaves runs that are about to end, and those without checkpoints from their middle on', () => {
    const urgent = makeRow('urgent', { demand: LARGE });
    const at = (progressPercent: number) => (): PreemptibleRun => ({
      type: 'running',
      progressPercent,
    });
    expect(plan([urgent], [makeBatch('batch', FULL)], at(95))).toEqual([]);
    const lossy = makeBatch('lossy', FULL, { isCheckpointing: false });
    expect(plan([urgent], [lossy], at(50))).toEqual([]);
    expect(plan([urgent], [lossy], at(40))).toHaveLength(1);
  });

  it('never stops services, gangs and protected runs', () => {
    const urgent = makeRow('urgent', { demand: LARGE });
    expect(plan([urgent], [makeBatch('a', FULL, { isLongRunning: true })])).toEqual([]);
    expect(plan([urgent], [makeBatch('b', FULL, { isGang: true })])).toEqual([]);
    expect(plan([urgent], [makeBatch('c', FULL)], () => ({ type: 'protected' }))).toEqual([]);
  });

  it('stops nothing for a job that is late, or waits for the limit of its organisation', () => {
    const late = makeRow('late', { demand: LARGE });
    const early = { ...late, spec: { ...late.spec, submittedAtMs: NOW_MS - 60_000 } };
    expect(plan([early], [makeBatch('batch', FULL)])).toEqual([]);
    const limited = { ...late, spec: { ...late.spec, organisation: 'parks' } };
    const rooms = new OrganisationRooms([limited], () => ({
      cpuMillicores: 0,
      memoryMb: 0,
      gpuCount: 0,
    }));
    const allocatedJobs = [limited, makeBatch('batch', FULL)];
    const planned = planTaskPreemptions({
      ...{ waitingJobs: [limited], allocatedJobs, targets: TARGETS, rooms },
      runTimes: new RunTimes(),
      getRun: () => ({ type: 'running', progressPercent: 25 }),
      ...{ nowMs: NOW_MS, dueAtMs: NOW_MS },
    });
    expect(planned).toEqual([]);
  });

  // Failure: tasks are stopped whose resources are of no use to the waiting one.
  it('leaves runs whose resources the waiting task can do without', () => {
    const urgent = makeRow('urgent', { demand: LARGE });
    const small = makeBatch('small', ['t1'], {
      demand: { cpuMillicores: 0, memoryMb: 100, gpuCount: 0 },
    });
    const batch = makeBatch('batch', ['t1', 't1']);
    const planned = plan([urgent], [small, batch], undefined, TARGETS.slice(0, 1));
    expect(planned.map(({ jobId }) => jobId)).toEqual(['batch']);
  });

  // Failure: a job is late once its room is free, and the stopped task gets that room back.
  it('stops nothing for a job that would be late once the room is free', () => {
    const runTimes = new RunTimes();
    const urgent = makeRow('urgent', { demand: LARGE });
    const waitMs = estimateStartByMs(urgent, runTimes) - NOW_MS;
    const withMsLeft = (leftMs: number): DurableJobRow =>
      createJobRow({ ...urgent.spec, submittedAtMs: NOW_MS - waitMs + leftMs });
    expect(plan([withMsLeft(100)], [makeBatch('batch', FULL)])).toEqual([]);
    expect(plan([withMsLeft(1_000)], [makeBatch('batch', FULL)])).toHaveLength(1);
  });

  it('stops nothing on targets that take no tasks', () => {
    const urgent = makeRow('urgent', { demand: LARGE });
    const draining = TARGETS.map((target) => ({ ...target, takesTasks: false }));
    expect(plan([urgent], [makeBatch('batch', FULL)], undefined, draining)).toEqual([]);
  });
});
