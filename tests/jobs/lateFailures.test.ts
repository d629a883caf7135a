import { describe, expect, it } from 'vitest';
import {
  countLateFailure,
  createJobRow,
  isUnheardRun,
  noteUnheardRun,
  placeTask,
} from '../../src/jobs/index.js';
import { makeJob, makeStep } from '../taskHome/HomeWorld.js';

const NOW_MS = 5;
const MANY_RUNS = 20;

/** Creates a job whose run 1 was given up unheard, and whose run 2 is placed elsewhere. */
function createLost(isLongRunning = false) {
  const placed = placeTask(createJobRow(makeJob('a', [makeStep({ isLongRunning })])), 0, 't1');
  return placeTask(noteUnheardRun(placed, 0, 1), 0, 't2');
}

describe('the failure of a run that was given up unheard', () => {
  it('counts once, and the current run goes on', () => {
    const counted = countLateFailure(createLost(), 0, 1, NOW_MS);
    expect(counted.tasks[0]).toMatchObject({ phase: 'placed', run: 2, failureCount: 1 });
    expect(isUnheardRun(counted, 0, 1)).toBe(false);
  });

  it('fails the job if it was the last attempt', () => {
    const before = createLost();
    const tried = { ...before, tasks: [{ ...before.tasks[0]!, failureCount: 1 }] };
    const counted = countLateFailure(tried, 0, 1, NOW_MS);
    expect(counted).toMatchObject({ state: 'failed', finishedAtMs: NOW_MS });
  });

  it('does not count for another run, a finished job or a long-running task', () => {
    expect(isUnheardRun(createLost(), 0, 1)).toBe(true);
    expect(isUnheardRun(createLost(), 0, 2)).toBe(false);
    expect(isUnheardRun({ ...createLost(), state: 'cancelled' }, 0, 1)).toBe(false);
    expect(isUnheardRun(createLost(true), 0, 1)).toBe(false);
  });

  // Guards against records that grow with each target that is lost.
  it('is awaited for the latest runs only', () => {
    const runs = Array.from({ length: MANY_RUNS }, (_, index) => index + 1);
    const row = runs.reduce((lost, run) => noteUnheardRun(lost, 0, run), createLost());
    const { unheardRuns } = row.tasks[0]!;
    expect(unheardRuns!.length).toBeLessThan(MANY_RUNS / 2);
    expect(unheardRuns!.at(-1)).toBe(MANY_RUNS);
  });
});
