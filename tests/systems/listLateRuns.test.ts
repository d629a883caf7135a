import { describe, expect, it } from 'vitest';
import { createJobRow, placeTask, type StepSpec } from '../../src/jobs/index.js';
import { listLateRuns, RunTimes } from '../../src/systems/index.js';
import { makeJob, makeStep } from '../taskHome/HomeWorld.js';

const NOW_MS = 1_000_000;
/** Long after the objective of each job of these tests. */
const LATE_MS = 60_000;
const RUN_MS = 1_000;

function makePlaced(jobId: string, ageMs: number, step: Partial<StepSpec> = {}) {
  const spec = makeJob(jobId, [makeStep({ estimatedRunMs: RUN_MS, ...step })]);
  return placeTask(createJobRow({ ...spec, submittedAtMs: NOW_MS - ageMs }), 0, 't1');
}

function list(
  row: ReturnType<typeof makePlaced>,
  progressPercent: number | undefined = 20,
  drained: readonly string[] = ['t1'],
): readonly string[] {
  const late = listLateRuns({
    jobs: [row],
    drainedTargets: new Set(drained),
    runTimes: new RunTimes(),
    getProgressPercent: () => progressPercent,
    nowMs: NOW_MS,
  });
  return late.map(({ jobId }) => jobId);
}

describe('listLateRuns', () => {
  it('lists the late runs on drained targets', () => {
    expect(list(makePlaced('a', LATE_MS))).toEqual(['a']);
    expect(list(makePlaced('a', LATE_MS), 20, ['t2'])).toEqual([]);
  });

  it('leaves jobs that can still be in time', () => {
    expect(list(makePlaced('a', 0))).toEqual([]);
  });

  it('leaves runs that are about to end, and those that must not be stopped', () => {
    expect(list(makePlaced('a', LATE_MS), 90)).toEqual([]);
    expect(
      listLateRuns({
        jobs: [makePlaced('a', LATE_MS)],
        drainedTargets: new Set(['t1']),
        runTimes: new RunTimes(),
        getProgressPercent: () => undefined,
        nowMs: NOW_MS,
      }),
    ).toEqual([]);
  });

  it('leaves gangs and long-running tasks', () => {
    expect(list(makePlaced('a', LATE_MS, { isGang: true }))).toEqual([]);
    expect(list(makePlaced('a', LATE_MS, { isLongRunning: true }))).toEqual([]);
  });
});
