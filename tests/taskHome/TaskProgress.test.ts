import { beforeEach, describe, expect, it } from 'vitest';
import { TaskProgress } from '../../src/taskHome/TaskProgress.js';
import { ManualClock } from '../../src/utils/index.js';
import { makeProgressReport } from './makeProgressReport.js';

describe('TaskProgress', () => {
  let clock: ManualClock;
  let progress: TaskProgress;

  /** Notes a report that was asked for, made and read at this moment. */
  const note = (run: number, progressPercent: number): void =>
    progress.note(makeProgressReport({ run, progressPercent, askedAtMs: clock.monotonicMs() }));

  /** Asks for a task that is estimated to take a second. */
  const isStalled = (estimatedRunMs = 1_000): boolean =>
    progress.isStalled('a.0.0.0', 1, estimatedRunMs);

  /** Reports a run at equal intervals for some percents, and tells when it counted as stalled. */
  const findStall = (percentMs: number, estimatedRunMs: number): number | undefined =>
    Array.from({ length: 40 }, (_each, index) => index * 500).find((atMs) => {
      note(1, Math.floor(atMs / percentMs));
      clock.advance(500);
      return isStalled(estimatedRunMs);
    });

  beforeEach(() => {
    clock = new ManualClock();
    progress = new TaskProgress(clock);
  });

  it('knows a task at work by its current run and full progress', () => {
    note(2, 100);
    expect(progress.isAtWork('a.0.0.0', 2)).toBe(true);
    expect(progress.isAtWork('a.0.0.0', 3)).toBe(false);
    note(3, 40);
    expect(progress.isAtWork('a.0.0.0', 3)).toBe(false);
  });

  // Guards against a service that loses two of its nodes at once: a target crashes, and while its
  // last report still says that a node is at work, maintenance stops another. This happens if
  // reports do not become outdated.
  it('ignores an outdated report', () => {
    note(1, 100);
    clock.advance(2_000);
    expect(progress.isAtWork('a.0.0.0', 1)).toBe(false);
  });

  // Guards against a home that was paused and takes a report that waited for it for fresh.
  it('ignores a report that was asked for too long ago', () => {
    clock.advance(3_000);
    progress.note(makeProgressReport({ progressPercent: 100, askedAtMs: 1 }));
    expect(progress.isAtWork('a.0.0.0', 1)).toBe(true);
    progress.note(makeProgressReport({ progressPercent: 100, askedAtMs: 0 }));
    expect(progress.isAtWork('a.0.0.0', 1)).toBe(false);
  });

  // Guards against a job that never ends: its tasks stall on a target that answers every renewal.
  it('finds a run that makes no progress', () => {
    note(1, 30);
    clock.advance(1_900);
    note(1, 30);
    expect(isStalled()).toBe(false);
    clock.advance(100);
    note(1, 30);
    expect(isStalled()).toBe(true);
    note(1, 31);
    expect(isStalled()).toBe(false);
  });

  // Guards against a home that was paused between two reports and stops runs that go on.
  it('measures a stall by the clock of the target', () => {
    progress.note(makeProgressReport({ progressPercent: 30, askedAtMs: 0 }));
    clock.advance(5_000);
    progress.note(makeProgressReport({ progressPercent: 30, askedAtMs: 100 }));
    expect(isStalled()).toBe(false);
    progress.note(makeProgressReport({ progressPercent: 30, askedAtMs: 4_000 }));
    expect(isStalled()).toBe(true);
  });

  // Guards against a long task that never ends: each percent of it takes longer than a stall.
  it('takes no run for stalled whose percents take long by its estimate', () => {
    expect(findStall(3_000, 300_000)).toBeUndefined();
  });

  it('takes no run for stalled whose percents took as long before', () => {
    note(1, 10);
    clock.advance(1_900);
    note(1, 11);
    clock.advance(5_600);
    note(1, 11);
    expect(isStalled()).toBe(false);
    clock.advance(100);
    note(1, 11);
    expect(isStalled()).toBe(true);
  });

  // Guards against a task that is stopped without end, as its estimate is far too short.
  it('waits twice as long after each stall of a task, until it is done', () => {
    expect(findStall(9_000, 1_000)).toBe(2_000);
    progress.noteStall('a.0.0.0');
    progress.forget('a.0.0.0');
    expect(findStall(9_000, 1_000)).toBe(4_000);
    progress.noteStall('a.0.0.0');
    progress.noteStall('a.0.0.0');
    progress.forget('a.0.0.0');
    expect(findStall(9_000, 1_000)).toBeUndefined();
    progress.forgetStalls('a.0.0.0');
    progress.forget('a.0.0.0');
    expect(findStall(9_000, 1_000)).toBe(2_000);
  });
});
