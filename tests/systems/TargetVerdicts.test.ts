import { beforeEach, describe, expect, it } from 'vitest';
import { TargetVerdicts } from '../../src/systems/index.js';

const POOL = 'pages';
const TARGET_COUNT = 6;
const SLOW = { share: 0.2, upperShare: 0.3, runCount: 1 };
const SOUND = { share: 1, upperShare: 1.4, runCount: 1 };
const PROBE_PAUSE_MS = 1_000;

describe('TargetVerdicts', () => {
  let verdicts: TargetVerdicts;

  beforeEach(() => {
    verdicts = new TargetVerdicts();
  });

  const getIntake = (targetId: string, nowMs: number): string =>
    verdicts.getIntake(targetId, TARGET_COUNT, nowMs);

  it('lets a target that was judged sound get all tasks', () => {
    expect(verdicts.judgePace('t1', POOL, SOUND, 0)).toBe('same');
    expect(getIntake('t1', 0)).toBe('all');
  });

  it('lets a slow target get services only, probes after a pause, and all tasks once it is back', () => {
    expect(verdicts.judgePace('t1', POOL, SLOW, 0)).toBe('found');
    expect(getIntake('t1', 0)).toBe('services');
    expect(getIntake('t1', PROBE_PAUSE_MS)).toBe('probes');
    expect(verdicts.judgePace('t1', POOL, SLOW, PROBE_PAUSE_MS)).toBe('same');
    expect(getIntake('t1', PROBE_PAUSE_MS)).toBe('services');
    expect(verdicts.judgePace('t1', POOL, SOUND, 2 * PROBE_PAUSE_MS)).toBe('returned');
    expect(getIntake('t1', 2 * PROBE_PAUSE_MS)).toBe('all');
  });

  it('lets a failing target return after three runs in a row that were done', () => {
    expect(verdicts.judgeFailures('t1', POOL, true, 0, 0)).toBe('found');
    expect(verdicts.judgeFailures('t1', POOL, true, 2, 0)).toBe('same');
    expect(verdicts.judgeFailures('t1', POOL, true, 3, 0)).toBe('returned');
  });

  it('lets a failing target return whose failures were those of hopeless jobs', () => {
    verdicts.judgeFailures('t1', POOL, true, 0, 0);
    expect(verdicts.judgeFailures('t1', POOL, false, 0, 0)).toBe('returned');
  });

  // Guards against a pool of which most targets get no task, as the load or the estimates are off.
  it('avoids none while more than a third of the pool seems uneven', () => {
    ['t1', 't2'].forEach((targetId) => verdicts.judgePace(targetId, POOL, SLOW, 0));
    expect(getIntake('t1', 0)).toBe('services');
    verdicts.judgePace('t3', POOL, SLOW, 0);
    expect(getIntake('t1', 0)).toBe('all');
    verdicts.forget('t3');
    expect(getIntake('t1', 0)).toBe('services');
  });
});
