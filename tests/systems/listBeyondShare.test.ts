import { describe, expect, it } from 'vitest';
import { createJobRow, type DurableJobRow, placeTask } from '../../src/jobs/index.js';
import { listBeyondShare } from '../../src/systems/listBeyondShare.js';
import { makeJob } from '../taskHome/HomeWorld.js';

function makeRow(jobId: string, submittedAtMs: number, organisation = 'water'): DurableJobRow {
  return createJobRow({ ...makeJob(jobId), organisation, submittedAtMs });
}

function list(rows: readonly DurableJobRow[], weight = 1): readonly string[] {
  return [...listBeyondShare(rows, () => weight)].map(({ spec }) => spec.jobId);
}

describe('listBeyondShare', () => {
  it('lists what an organisation has sent beyond its weight within a second', () => {
    const rows = [makeRow('a', 0), makeRow('b', 400), makeRow('c', 1_100), makeRow('d', 2_200)];
    expect(list(rows)).toEqual(['b', 'c']);
    expect(list(rows, 2)).toEqual([]);
  });

  it('counts each organisation by itself', () => {
    expect(list([makeRow('a', 0), makeRow('b', 10, 'housing')])).toEqual([]);
  });

  // Failure: a job that has begun waits for all others, and its work is lost.
  it('lists no job that has begun', () => {
    const begun = placeTask(makeRow('b', 400), 0, 't1');
    expect(list([makeRow('a', 0), begun])).toEqual([]);
  });

  it('lists nothing without organisations', () => {
    const rows = ['a', 'b', 'c'].map((jobId) => createJobRow(makeJob(jobId)));
    expect(list(rows)).toEqual([]);
  });
});
