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
    expect(progress.isStalled('a.0.0.0', 1)).toBe(false);
    clock.advance(100);
    note(1, 30);
    expect(progress.isStalled('a.0.0.0', 1)).toBe(true);
    note(1, 31);
    expect(progress.isStalled('a.0.0.0', 1)).toBe(false);
  });

  // Guards against a home that was paused between two reports and stops runs that go on.
  it('measures a stall by the clock of the target', () => {
    progress.note(makeProgressReport({ progressPercent: 30, askedAtMs: 0 }));
    clock.advance(5_000);
    progress.note(makeProgressReport({ progressPercent: 30, askedAtMs: 100 }));
    expect(progress.isStalled('a.0.0.0', 1)).toBe(false);
    progress.note(makeProgressReport({ progressPercent: 30, askedAtMs: 4_000 }));
    expect(progress.isStalled('a.0.0.0', 1)).toBe(true);
  });
});
