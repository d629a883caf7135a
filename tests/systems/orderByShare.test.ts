import { describe, expect, it } from 'vitest';
import { createJobRow, type DurableJobRow, placeTask } from '../../src/jobs/index.js';
import { orderByShare } from '../../src/systems/index.js';
import { makeJob, makeStep } from '../taskHome/HomeWorld.js';

const NOW_MS = 1_000_000;

function makeRow(jobId: string, organisation?: string): DurableJobRow {
  const owner = organisation === undefined ? {} : { organisation };
  return createJobRow({ ...makeJob(jobId, [makeStep()]), ...owner });
}

function order(
  jobs: readonly DurableJobRow[],
  allocatedJobs: readonly DurableJobRow[] = [],
  weights: Readonly<Record<string, number>> = {},
): readonly string[] {
  const getWeight = (organisation: string): number => weights[organisation] ?? 1;
  return orderByShare({ jobs, allocatedJobs, getWeight, nowMs: NOW_MS }).map(
    ({ spec }) => spec.jobId,
  );
}

describe('orderByShare', () => {
  const rush = ['r1', 'r2', 'r3'].map((jobId) => makeRow(jobId, 'rushing'));

  // Failure: the jobs of one organisation in a rush come before those of all others.
  it('takes organisations by turns, and keeps the order within each', () => {
    const others = [makeRow('w1', 'water'), makeRow('h1', 'housing')];
    expect(order([...rush, ...others])).toEqual(['r1', 'w1', 'h1', 'r2', 'r3']);
  });

  it('counts what an organisation uses already, in relation to its weight', () => {
    const placed = placeTask(makeRow('p1', 'rushing'), 0, 't1');
    expect(order([...rush, makeRow('w1', 'water')], [placed])).toEqual(['w1', 'r1', 'r2', 'r3']);
    const heavy = order([...rush, makeRow('w1', 'water')], [placed], { rushing: 100 });
    expect(heavy.slice(0, 2)).toEqual(['w1', 'r1']);
    const waterPlaced = placeTask(makeRow('p2', 'water'), 0, 't1');
    const both = order([...rush, makeRow('w1', 'water')], [placed, waterPlaced], { rushing: 4 });
    expect(both).toEqual(['r1', 'r2', 'r3', 'w1']);
  });

  it('serves an organisation of weight 0 after the others and does not forget it', () => {
    const jobs = [makeRow('z1', 'none'), makeRow('z2', 'none'), makeRow('w1', 'water')];
    expect(order(jobs, [], { none: 0 })).toEqual(['z1', 'w1', 'z2']);
  });

  it('changes nothing where no job has an organisation', () => {
    const jobs = ['a', 'b', 'c'].map((jobId) => makeRow(jobId));
    expect(order(jobs)).toEqual(['a', 'b', 'c']);
  });
});
