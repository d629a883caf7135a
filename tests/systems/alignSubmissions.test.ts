import { describe, expect, it } from 'vitest';
import { createJobRow } from '../../src/jobs/index.js';
import { alignSubmissions } from '../../src/systems/index.js';
import { makeJob, makeStep } from '../taskHome/HomeWorld.js';

const NOW_MS = 10_000_000;
const JUMP_MS = 2_400_000;

/** Creates jobs whose ages result from the clock of the previous home. */
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
  // Guards against waiting jobs that are served after all new ones until their callers give up: the
  // clock of a new home was 40 minutes ahead at a takeover under load, so they looked late.
  it('counts the newest job as just submitted where all look far too old', () => {
    expect(listAges(makeRows([JUMP_MS + 500, JUMP_MS + 3_500]))).toEqual([0, 3_000]);
  });

  it('replaces submission times in the future by now', () => {
    expect(listAges(makeRows([500 - JUMP_MS, 700]))).toEqual([0, 700]);
  });

  it('keeps plausible ages', () => {
    const rows = makeRows([2_500, 30_000]);
    expect(alignSubmissions(rows, NOW_MS)).toEqual(rows);
    expect(alignSubmissions([], NOW_MS)).toEqual([]);
  });

  it('keeps the ages of long-running services', () => {
    const services = makeRows([JUMP_MS], true);
    expect(alignSubmissions(services, NOW_MS)).toEqual(services);
  });
});
