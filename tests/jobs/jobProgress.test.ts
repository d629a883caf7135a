import { describe, expect, it } from 'vitest';
import {
  createJobRow,
  decodeJobRecord,
  encodeJobProgress,
  endRun,
  noteUnheardRun,
  placeTask,
  restoreJobRow,
} from '../../src/jobs/index.js';
import { makeJob, makeStep } from '../taskHome/HomeWorld.js';

const spec = makeJob('j1', [makeStep({ taskCount: 16 }), makeStep({ afterSteps: [0] })]);

function storeAndRestore(row: ReturnType<typeof createJobRow>): ReturnType<typeof createJobRow> {
  const record = decodeJobRecord(encodeJobProgress(row));
  if (record.type !== 'progress') throw new Error(`Expected progress, got ${record.type}.`);
  return restoreJobRow(row.spec, record.progress);
}

describe('jobProgress', () => {
  it('restores every field of every task', () => {
    const placed = [0, 1, 2, 3].reduce(
      (row, position) => placeTask(row, position, `target-${position % 2}`),
      createJobRow(spec),
    );
    const done = endRun(placed, 1, { end: 'done', checkpoint: undefined }, 5);
    const failed = endRun(done, 2, { end: 'failed', checkpoint: 'saved' }, 6);
    const again = placeTask(failed, 2, 'target-7');
    expect(storeAndRestore(again)).toEqual(again);
  });

  // Guards against a failed run that counts for no attempt, as the next home does not know of it.
  it('restores which runs were given up unheard', () => {
    const lost = noteUnheardRun(placeTask(createJobRow(spec), 3, 't'), 3, 1);
    expect(lost.tasks[3]!.unheardRuns).toEqual([1]);
    expect(storeAndRestore(lost)).toEqual(lost);
  });

  it('restores when a job has finished', () => {
    const row = createJobRow(makeJob('j2'));
    const done = endRun(placeTask(row, 0, 't'), 0, { end: 'done', checkpoint: undefined }, 77);
    expect(storeAndRestore(done)).toMatchObject({ state: 'completed', finishedAtMs: 77 });
  });

  // Guards against a home that falls behind at a load peak on a link of 10 Mbit/s: the record of a
  // job of 16 tasks took 2.4 KB and was written at each task's start and end, about 1,600 times a
  // second.
  it('keeps the record of a job of 16 running tasks below 400 bytes', () => {
    const running = Array.from({ length: 16 }, (_t, position) => position).reduce(
      (row, position) => placeTask(row, position, `i-${position}0123456789`),
      createJobRow(spec),
    );
    expect(encodeJobProgress(running).value!.length).toBeLessThan(400);
  });

  it('refuses the progress of other tasks', () => {
    const record = decodeJobRecord(encodeJobProgress(createJobRow(makeJob('j1'))));
    if (record.type !== 'progress') throw new Error('Expected a progress record.');
    expect(() => restoreJobRow(spec, record.progress)).toThrow(
      'Stored progress of job j1 does not match its steps: 1 tasks.',
    );
  });
});
