import { describe, expect, it } from 'vitest';
import {
  advanceOccurrences,
  createJobRow,
  decodeJobRecord,
  type DurableJobRow,
  type DurableJobSpec,
  encodeJobProgress,
  endRun,
  findTask,
  placeTask,
  restoreJobRow,
} from '../../src/jobs/index.js';
import { makeJob, makeStep } from '../taskHome/HomeWorld.js';

const FIRST_DUE_AT_MS = 1_000_000;
const INTERVAL_MS = 60_000;
const MINUTES_OF_A_YEAR = 525_600;
const MAX_TASK_COUNT = 1_000;
const TASKS_PER_STEP = 2;
const DONE = { end: 'done', checkpoint: undefined } as const;

function makeScheduledJob(occurrenceCount: number, intervalMs = INTERVAL_MS): DurableJobSpec {
  const steps = [
    makeStep({ taskCount: TASKS_PER_STEP }),
    makeStep({ taskCount: TASKS_PER_STEP, afterSteps: [0] }),
  ];
  const schedule = { occurrenceCount, firstDueAtMs: FIRST_DUE_AT_MS, intervalMs };
  return { ...makeJob('timed', steps), schedule };
}

function listOccurrences({ tasks }: DurableJobRow): readonly number[] {
  return [...new Set(tasks.map(({ occurrence }) => occurrence))];
}

/** Runs the tasks of an occurrence to their ends. */
function finishOccurrence(row: DurableJobRow, occurrence: number): DurableJobRow {
  const positions = row.tasks.flatMap((task, position) =>
    task.occurrence === occurrence ? [position] : [],
  );
  return positions.reduce(
    (before, position) => endRun(placeTask(before, position, 't1'), position, DONE, 0),
    row,
  );
}

function storeAndRestore(row: DurableJobRow): DurableJobRow {
  const record = decodeJobRecord(encodeJobProgress(row));
  return restoreJobRow(row.spec, record.type === 'progress' ? record.progress : undefined);
}

// Guards against a home that ends out of memory, as a job holds every occurrence it will ever have.
describe('advanceOccurrences', () => {
  it('keeps only what is due of a job that runs each minute of a year', () => {
    const created = createJobRow(makeScheduledJob(MINUTES_OF_A_YEAR));
    expect(created.tasks).toHaveLength(0);
    const row = advanceOccurrences(created, FIRST_DUE_AT_MS + INTERVAL_MS, MAX_TASK_COUNT);
    expect(listOccurrences(row)).toEqual([0, 1]);
    expect(row.tasks).toHaveLength(2 * 2 * TASKS_PER_STEP);
  });

  it('drops done occurrences in any order, and keeps the others', () => {
    const nowMs = FIRST_DUE_AT_MS + 2 * INTERVAL_MS;
    const due = advanceOccurrences(createJobRow(makeScheduledJob(10)), nowMs, MAX_TASK_COUNT);
    const row = advanceOccurrences(finishOccurrence(due, 1), nowMs, MAX_TASK_COUNT);
    expect(listOccurrences(row)).toEqual([0, 2]);
    expect(row.state).toBe('running');
  });

  it('begins no occurrence twice, also after the home has changed', () => {
    const nowMs = FIRST_DUE_AT_MS + INTERVAL_MS;
    const due = advanceOccurrences(createJobRow(makeScheduledJob(10)), nowMs, MAX_TASK_COUNT);
    const restored = storeAndRestore(finishOccurrence(due, 0));
    const row = advanceOccurrences(restored, nowMs, MAX_TASK_COUNT);
    expect(listOccurrences(row)).toEqual([1]);
    expect(storeAndRestore(row)).toEqual(row);
    expect(listOccurrences(advanceOccurrences(row, nowMs + INTERVAL_MS, MAX_TASK_COUNT))).toEqual([
      1, 2,
    ]);
  });

  it('completes a job with its last occurrence, and not before', () => {
    const nowMs = FIRST_DUE_AT_MS + INTERVAL_MS;
    const first = advanceOccurrences(createJobRow(makeScheduledJob(2)), FIRST_DUE_AT_MS, 100);
    const afterFirst = finishOccurrence(first, 0);
    expect(afterFirst.state).toBe('running');
    const second = advanceOccurrences(storeAndRestore(afterFirst), nowMs, MAX_TASK_COUNT);
    expect(finishOccurrence(second, 1).state).toBe('completed');
  });

  it('bounds what is begun of occurrences that are all due at once', () => {
    const created = createJobRow(makeScheduledJob(10_000_000, 0));
    const row = advanceOccurrences(created, FIRST_DUE_AT_MS, MAX_TASK_COUNT);
    expect(row.tasks).toHaveLength(MAX_TASK_COUNT);
    const next = advanceOccurrences(finishOccurrence(row, 0), FIRST_DUE_AT_MS, MAX_TASK_COUNT);
    expect(listOccurrences(next).slice(-1)).toEqual([MAX_TASK_COUNT / (2 * TASKS_PER_STEP)]);
  });

  it('stores as much of a job of ten million occurrences as of one of sixty', () => {
    const sizesBytes = [60, 10_000_000].map((occurrenceCount) => {
      const created = createJobRow(makeScheduledJob(occurrenceCount));
      const row = advanceOccurrences(created, FIRST_DUE_AT_MS, MAX_TASK_COUNT);
      return encodeJobProgress(row).value!.length;
    });
    expect(sizesBytes[1]).toBe(sizesBytes[0]);
  });

  it('begins an occurrence that is due by the clock, however uneven the times are', () => {
    const schedule = { occurrenceCount: 5, firstDueAtMs: 0.1, intervalMs: 0.1 };
    const created = createJobRow({ ...makeJob('uneven'), schedule });
    expect(listOccurrences(advanceOccurrences(created, 0.1 + 2 * 0.1, 100))).toEqual([0, 1, 2]);
  });

  it('leaves a job without a schedule as it is', () => {
    const row = createJobRow(makeJob('once'));
    expect(advanceOccurrences(row, Number.MAX_SAFE_INTEGER, 0)).toBe(row);
  });
});

it('restores the progress that an earlier version stored, with all occurrences', () => {
  const spec = makeScheduledJob(2);
  const record = decodeJobRecord(encodeJobProgress(createJobRow(spec)));
  const latest = record.type === 'progress' ? record.progress : expect.fail('no progress');
  const progress = { ...latest, begunOccurrenceCount: undefined, occurrences: undefined };
  const taskCount = 2 * 2 * TASKS_PER_STEP;
  const phases = 'dddd'.padEnd(taskCount, 'w');
  const row = restoreJobRow(spec, { ...progress, phases, runs: Array(taskCount).fill(1) });
  expect(row.begunOccurrenceCount).toBe(2);
  expect(listOccurrences(advanceOccurrences(row, FIRST_DUE_AT_MS, 100))).toEqual([1]);
});

it('finds the tasks of kept occurrences by their names, and none of others', () => {
  const nowMs = FIRST_DUE_AT_MS + 2 * INTERVAL_MS;
  const due = advanceOccurrences(createJobRow(makeScheduledJob(10)), nowMs, MAX_TASK_COUNT);
  const row = advanceOccurrences(finishOccurrence(due, 1), nowMs, MAX_TASK_COUNT);
  row.tasks.forEach((task, position) => expect(findTask(row, task)).toBe(position));
  const others = [
    { occurrence: 1, step: 0, index: 0 },
    { occurrence: 3, step: 0, index: 0 },
    { occurrence: 0, step: 2, index: 0 },
    { occurrence: 0, step: 0, index: TASKS_PER_STEP },
    { occurrence: 0, step: 0, index: -1 },
  ];
  expect(others.map((other) => findTask(row, other))).toEqual(others.map(() => -1));
});
