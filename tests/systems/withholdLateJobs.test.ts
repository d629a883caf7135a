import { describe, expect, it } from 'vitest';
import { createJobRow, type DurableJobRow } from '../../src/jobs/index.js';
import { RunTimes, withholdLateJobs } from '../../src/systems/index.js';
import { makeJob, makeStep } from '../taskHome/HomeWorld.js';

const NOW_MS = 1_000_000;
/** Age at which a job of the tests is long late. */
const LATE_AGE_MS = 600_000;

function makeRow(jobId: string, taskCount: number, ageMs: number, isLongRunning = false) {
  const spec = makeJob(jobId, [makeStep({ taskCount, isLongRunning })]);
  return createJobRow({ ...spec, submittedAtMs: NOW_MS - ageMs });
}

function select(jobs: readonly DurableJobRow[]): readonly string[] {
  const input = { jobs, runTimes: new RunTimes(), nowMs: NOW_MS, dueAtMs: NOW_MS };
  return withholdLateJobs(input).map(({ spec }) => spec.jobId);
}

describe('withholdLateJobs', () => {
  // Guards against a home without time to spare that starts the tasks of late jobs, so that those
  // in time become late as well.
  it('keeps jobs in time, and late ones for a small part of the starts', () => {
    const inTime = ['a', 'b', 'c', 'd'].map((jobId) => makeRow(jobId, 10, 0));
    const late = ['k', 'l', 'm', 'n'].map((jobId) => makeRow(jobId, 6, LATE_AGE_MS));
    expect(select([...inTime, ...late])).toEqual(['a', 'b', 'c', 'd', 'k', 'l']);
  });

  it('places a late job in each round, however large it is', () => {
    const jobs = [makeRow('a', 1, 0), makeRow('k', 500, LATE_AGE_MS), makeRow('l', 1, LATE_AGE_MS)];
    expect(select(jobs)).toEqual(['a', 'k']);
  });

  it('serves late jobs in order where nothing else waits', () => {
    const jobs = ['k', 'l', 'm'].map((jobId) => makeRow(jobId, 4, LATE_AGE_MS));
    expect(select(jobs)).toEqual(['k', 'l']);
  });

  it('withholds no long-running task', () => {
    const jobs = ['s', 't'].map((jobId) => makeRow(jobId, 20, LATE_AGE_MS, true));
    expect(select(jobs)).toEqual(['s', 't']);
  });
});
