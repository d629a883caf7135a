import { describe, expect, it } from 'vitest';
import { beginJob, createJobRow, type DurableJobRow, placeTask } from '../../src/jobs/index.js';
import { type Admission, admitJob, PoolBacklog, RunTimes } from '../../src/systems/index.js';
import { makeJob, makeStep, TERMS } from '../taskHome/HomeWorld.js';

const NOW_MS = 1_000_000;
const runTimes = new RunTimes();

/** Makes a job of tasks that take half a second of a core each. */
function makeRow(jobId: string, taskCount = 1, organisation?: string, priority = 0): DurableJobRow {
  const spec = makeJob(jobId, [makeStep({ taskCount })]);
  const terms = { ...TERMS, priority };
  return createJobRow({ ...spec, terms, organisation, submittedAtMs: NOW_MS });
}

/** Decides about a job at a pool of eight cores. */
function admit(
  row: DurableJobRow,
  rows: readonly DurableJobRow[],
  weights: Readonly<Record<string, number>> = {},
): Admission {
  const getWeight = (organisation: string): number => weights[organisation] ?? 1;
  return admitJob({
    row,
    backlog: new PoolBacklog(rows, { runTimes, getWeight, nowMs: NOW_MS }),
    capacityCpuMillicores: 8_000,
    arrivingCpuMillicores: 0,
    runTimes,
    nowMs: NOW_MS,
  });
}

function getRetryAfterMs(admission: Admission): number {
  return admission.type === 'refused' ? admission.retryAtMs - NOW_MS : 0;
}

describe('admitJob', () => {
  it('refuses behind more work than a job can wait for, and accepts behind less', () => {
    expect(admit(makeRow('a'), [makeRow('large', 200)]).type).toBe('refused');
    expect(admit(makeRow('a'), [makeRow('small', 20)]).type).toBe('admitted');
  });

  it('accepts what would be late and still of use', () => {
    expect(admit(makeRow('a'), [makeRow('large', 60)]).type).toBe('admitted');
  });

  it('counts no work of less urgent jobs, and none that is late', () => {
    expect(admit(makeRow('a'), [makeRow('large', 200, undefined, 1)]).type).toBe('admitted');
    const { spec } = makeRow('large', 200);
    const late = createJobRow({ ...spec, submittedAtMs: NOW_MS - 60_000 });
    expect(admit(makeRow('a'), [late]).type).toBe('admitted');
  });

  it('counts the work of another organisation up to the weights only', () => {
    const rows = [makeRow('large', 400, 'rushing'), makeRow('small', 20, 'water')];
    expect(admit(makeRow('a', 1, 'rushing'), rows).type).toBe('refused');
    expect(admit(makeRow('a', 1, 'water'), rows).type).toBe('admitted');
    expect(admit(makeRow('a', 1, 'water'), rows, { rushing: 20 }).type).toBe('refused');
  });

  it('counts the work of jobs that have begun, whoever they belong to', () => {
    const begun = beginJob(placeTask(makeRow('large', 200, 'rushing'), 0, 't1'));
    expect(admit(makeRow('a', 1, 'water'), [begun]).type).toBe('refused');
  });

  it('asks organisations below their share back earlier', () => {
    const rows = [makeRow('large', 2_000, 'rushing'), makeRow('medium', 80, 'water')];
    const refused = ['rushing', 'water'].map((name) => admit(makeRow('a', 1, name), rows));
    const [rushing, water] = refused.map(getRetryAfterMs) as [number, number];
    expect(water).toBeGreaterThan(0);
    expect(water).toBeLessThan(rushing);
  });

  // Failure: all refused callers come back at the same moment.
  it('spreads the times to come back over as long again, the same for each repeat of a job', () => {
    const getTimes = (): readonly number[] =>
      Array.from({ length: 100 }, (_none, index) => makeRow(`job-${index}`)).map((row) =>
        getRetryAfterMs(admit(row, [makeRow('large', 150)])),
      );
    const times = getTimes();
    expect(getTimes()).toEqual(times);
    expect(Math.max(...times)).toBeGreaterThan(1.9 * Math.min(...times));
    expect(Math.max(...times)).toBeLessThan(2 * Math.min(...times) + 100);
  });
});
