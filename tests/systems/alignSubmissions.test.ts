import { describe, expect, it } from 'vitest';
import { createJobRow } from '../../src/jobs/index.js';
import { alignSubmissions } from '../../src/systems/index.js';
import { makeJob, makeStep } from '../taskHome/HomeWorld.js';

const NOW_MS = 10_000_000;
const JUMP_MS = 2_400_000;

/** Jobs that were submitted some milliseconds ago, by the clock of the home before. */
const makeRows = (agesMs: readonly number[], isLongRunning = false) =>
  agesMs.map((ageMs, number) =>
    createJobRow({
      ...makeJob(`job-${number}`, [makeStep({ isLongRunning })]),
      submittedAtMs: NOW_MS - ageMs,
    }),
  );

const listAges = (rows: ReturnType<typeof makeRows>): readonly number[] =>
  alignSubmissions(rows, NOW_MS).map(({ spec }) => NOW_MS - spec.submittedAtMs);

describe('alignSubmissions', () => {
  // After a takeover in a rush the jobs that waited already were served after all new ones, until
  // their callers had given up: the new home's clock was 40 minutes ahead, so they looked late.
  it('counts the newest job as just submitted where all look far too old', () => {
    expect(listAges(makeRows([JUMP_MS + 500, JUMP_MS + 3_500]))).toEqual([0, 3_000]);
  });

  it('takes no job for submitted later than now', () => {
    expect(listAges(makeRows([500 - JUMP_MS, 700]))).toEqual([0, 700]);
  });

  it('leaves ages alone that can be', () => {
    const rows = makeRows([2_500, 30_000]);
    expect(alignSubmissions(rows, NOW_MS)).toEqual(rows);
    expect(alignSubmissions([], NOW_MS)).toEqual([]);
  });

  it('lets long-running services be as old as they are', () => {
    const services = makeRows([JUMP_MS], true);
    expect(alignSubmissions(services, NOW_MS)).toEqual(services);
  });
});
