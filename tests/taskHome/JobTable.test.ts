import { describe, expect, it } from 'vitest';
import { cancelJob, createJobRow, placeTask, unplaceTask } from '../../src/jobs/index.js';
import { JobTable } from '../../src/taskHome/JobTable.js';
import { makeJob } from './HomeWorld.js';

const listIds = (table: JobTable): readonly string[] =>
  table.listActive().map(({ spec }) => spec.jobId);

describe('JobTable', () => {
  // In the second half of a busy day each round of placement took longer than an append: the table
  // held 500 finished jobs, kept for callers who ask, and every round walked all of their tasks.
  it('lists a job as active until it is finished and its last task has left its target', () => {
    const table = new JobTable();
    const row = createJobRow(makeJob('j1'));
    table.add(row);
    table.add(createJobRow(makeJob('j2')));
    expect(listIds(table)).toEqual(['j1', 'j2']);
    const cancelled = cancelJob(placeTask(row, 0, 't1'), 1_000);
    table.put(cancelled);
    expect(listIds(table)).toEqual(['j1', 'j2']);
    table.put(unplaceTask(cancelled, 0));
    expect(listIds(table)).toEqual(['j2']);
    expect(table.get('j1')?.state).toBe('cancelled');
    expect(table.list()).toHaveLength(2);
  });

  it('takes a stored job over as active only where something of it is left', () => {
    const table = new JobTable();
    const row = createJobRow(makeJob('j1'));
    table.restore(cancelJob(row, 1_000));
    expect(listIds(table)).toEqual([]);
    table.remove('j1');
    expect(table.list()).toEqual([]);
  });
});
