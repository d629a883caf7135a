import { describe, expect, it } from 'vitest';
import { cancelJob, createJobRow, endRun, placeTask, unplaceTask } from '../../src/jobs/index.js';
import { explainIgnoredEnd, isOrdinaryReason } from '../../src/taskHome/explainIgnoredEnd.js';
import { JobTable } from '../../src/taskHome/JobTable.js';
import { makeJob, makeStep } from './HomeWorld.js';

const KEY = { taskName: 'a.0.0.0', run: 1, targetId: 't1' };
const TWO_TASKS = createJobRow(makeJob('a', [makeStep({ taskCount: 2 })]));
const PLACED = placeTask(TWO_TASKS, 0, 't1');
const WAITING = unplaceTask(PLACED, 0);
const DONE = endRun(PLACED, 0, { end: 'done', checkpoint: undefined }, 0);

function createTable(row = PLACED): JobTable {
  const table = new JobTable();
  table.restore(row);
  return table;
}

describe('explainIgnoredEnd', () => {
  it('knows nothing against the end of the current run', () => {
    expect(explainIgnoredEnd(createTable(), KEY)).toBeUndefined();
    expect(explainIgnoredEnd(createTable(cancelJob(PLACED, 0)), KEY)).toBeUndefined();
  });

  it.each([
    ['not-placed', WAITING, 'waiting', 1],
    ['other-run', placeTask(WAITING, 0, 't1'), 'placed', 2],
    ['other-target', placeTask(TWO_TASKS, 0, 't2'), 'placed', 1],
    ['finished-task', DONE, 'done', 1],
    ['other-run', placeTask(placeTask(DONE, 1, 't2'), 0, 't1'), 'placed', 2],
    ['finished-job', cancelJob(placeTask(WAITING, 1, 't2'), 0), 'waiting', 1],
  ] as const)('tells %s, with what the home has instead', (reason, row, phase, latestRun) => {
    expect(explainIgnoredEnd(createTable(row), KEY)).toEqual({ reason, phase, latestRun });
  });

  it('tells a job that has ended, and a job or task that the home does not have', () => {
    const ended = createTable(cancelJob(WAITING, 0));
    const reasons = [
      explainIgnoredEnd(ended, KEY),
      explainIgnoredEnd(new JobTable(), KEY),
      explainIgnoredEnd(new JobTable(), { ...KEY, taskName: 'no task name' }),
      explainIgnoredEnd(createTable(), { ...KEY, taskName: 'a.0.0.7' }),
    ].map((ignored) => ignored?.reason);
    expect(reasons).toEqual(['finished-job', 'unknown-job', 'unknown-job', 'unknown-task']);
  });
});

describe('isOrdinaryReason', () => {
  it.each([
    ['finished-job', true],
    ['finished-task', true],
    ['unknown-job', false],
    ['unknown-task', false],
    ['not-placed', false],
    ['other-run', false],
    ['other-target', false],
  ] as const)('takes %s as ordinary: %s', (reason, isOrdinary) => {
    expect(isOrdinaryReason(reason)).toBe(isOrdinary);
  });
});
