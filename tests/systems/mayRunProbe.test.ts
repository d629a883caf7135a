import { describe, expect, it } from 'vitest';
import { createJobRow, type DurableJobRow } from '../../src/jobs/index.js';
import { mayRunProbe, RunTimes } from '../../src/systems/index.js';
import { makeJob, makeStep } from '../taskHome/HomeWorld.js';

/** A job of one run of 2 s, whose objective leaves 2 s and 0.6 s more. */
const ROW: DurableJobRow = createJobRow({
  ...makeJob('a', [makeStep({ estimatedRunMs: 2_000 })]),
  submittedAtMs: 0,
});

describe('mayRunProbe', () => {
  it.each([
    [true, 'has time for a second start', 0],
    [false, 'is nearly late', 2_000],
    [true, 'is late whatever happens', 3_000],
  ])('is %s for a job that %s', (expected, _name, nowMs) => {
    expect(mayRunProbe(ROW, new RunTimes(), nowMs)).toBe(expected);
  });
});
