import { describe, expect, it } from 'vitest';
import { listOverruns } from './histories/listOverruns.js';
import type { WatchedRun } from './histories/RunWatch.js';

const TASKS = { taskNames: ['a.0.0.0', 'a.0.0.1'], maxUnavailableCount: 1 };

const makeRun = (taskName: string, changes: Partial<WatchedRun> = {}): WatchedRun => ({
  targetId: 't1',
  taskName,
  run: 1,
  begunAtMs: 0,
  ...changes,
});

describe('listOverruns', () => {
  const stopped = makeRun('a.0.0.0', { endedAtMs: 9_000, end: 'stopped' });

  it('allows a stop while all other tasks run', () => {
    expect(listOverruns({ ...TASKS, runs: [stopped, makeRun('a.0.0.1')] })).toEqual([]);
  });

  it.each([
    ['a stop', 'stopped', 8_990],
    ['a lapse', 'lapsed', 8_990],
    ['a failure of long ago', 'failed', 4_500],
  ] as const)('names a stop while another task is away after %s', (_cause, end, endedAtMs) => {
    const other = makeRun('a.0.0.1', { endedAtMs, end });
    const [overrun] = listOverruns({ ...TASKS, runs: [stopped, other] });
    expect(overrun).toBe('run 1 of a.0.0.0 on t1 was stopped at 9000 ms while a.0.0.1 were away');
  });

  it('does not count a task that has just failed, or runs again', () => {
    const failed = makeRun('a.0.0.1', { endedAtMs: 8_990, end: 'failed' });
    expect(listOverruns({ ...TASKS, runs: [stopped, failed] })).toEqual([]);
    const lapsed = makeRun('a.0.0.1', { endedAtMs: 8_000, end: 'lapsed' });
    const next = makeRun('a.0.0.1', { run: 2, begunAtMs: 8_500 });
    expect(listOverruns({ ...TASKS, runs: [stopped, lapsed, next] })).toEqual([]);
  });
});
