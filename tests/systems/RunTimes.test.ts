import { describe, expect, it } from 'vitest';
import { createJobRow, type DurableJobRow } from '../../src/jobs/index.js';
import { RunTimes } from '../../src/systems/index.js';
import { makeJob, makeStep } from '../taskHome/HomeWorld.js';

const QUEUE = makeJob('any').terms.queue;

function makeRow(image: string, declaredMs: number): DurableJobRow {
  return createJobRow(makeJob('j', [makeStep({ image, estimatedRunMs: declaredMs })]));
}

function learn(
  runTimes: RunTimes,
  count: number,
  runOf: (number: number) => readonly [string, number, number],
): void {
  Array.from({ length: count }).forEach((_unused, number) => {
    const [image, declaredMs, runMs] = runOf(number);
    runTimes.record({ queue: QUEUE, image, declaredMs, runMs });
  });
}

describe('RunTimes', () => {
  it('trusts declarations before anything was measured', () => {
    expect(new RunTimes().estimateMs(makeRow('a', 700), 0)).toBe(700);
    expect(new RunTimes().estimateMs(makeRow('a', 0), 0)).toBe(1_000);
  });

  it('keeps using accurate declarations regardless of the mean', () => {
    const runTimes = new RunTimes();
    learn(runTimes, 100, (number) => ['a', 100 + number * 30, 100 + number * 30]);
    expect(runTimes.estimateMs(makeRow('a', 450), 0)).toBe(450);
  });

  // Guards against one estimate for all images of a queue: exports of large volumes counted as late
  // and were placed last although they had time, since each kind of volume has its own run time.
  it('estimates by image where images differ and declarations are far off', () => {
    const runTimes = new RunTimes();
    learn(runTimes, 200, (number) => (number % 2 === 0 ? ['a', 5_000, 400] : ['b', 50, 1_600]));
    expect(runTimes.estimateMs(makeRow('a', 5_000), 0)).toBeCloseTo(400, 0);
    expect(runTimes.estimateMs(makeRow('b', 50), 0)).toBeCloseTo(1_600, 0);
  });

  it('estimates tasks with an unknown image by the mean of the queue', () => {
    const runTimes = new RunTimes();
    learn(runTimes, 100, () => ['a', 5_000, 400]);
    expect(runTimes.estimateMs(makeRow('new', 5_000), 0)).toBeCloseTo(400, 0);
  });

  it('learns nothing where that is switched off', () => {
    const runTimes = new RunTimes(false);
    learn(runTimes, 100, () => ['a', 5_000, 400]);
    expect(runTimes.estimateMs(makeRow('a', 5_000), 0)).toBe(5_000);
  });
});
