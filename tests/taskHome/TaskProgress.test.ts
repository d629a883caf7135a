import { describe, expect, it } from 'vitest';
import { TaskProgress } from '../../src/taskHome/TaskProgress.js';
import { ManualClock } from '../../src/utils/index.js';

const report = (run: number, progressPercent: number) => ({
  taskName: 'a.0.0.0',
  run,
  progressPercent,
  checkpoint: undefined,
  loadFigure: undefined,
});

describe('TaskProgress', () => {
  it('knows a task at work by its current run and full progress', () => {
    const progress = new TaskProgress(new ManualClock());
    progress.note([report(2, 100)]);
    expect(progress.isAtWork('a.0.0.0', 2)).toBe(true);
    expect(progress.isAtWork('a.0.0.0', 3)).toBe(false);
    progress.note([report(3, 40)]);
    expect(progress.isAtWork('a.0.0.0', 3)).toBe(false);
  });

  // Guards against a service that loses two of its nodes at once: a target crashes, and while its
  // last report still says that a node is at work, maintenance stops another. This happens if
  // reports do not become outdated.
  it('ignores an outdated report', () => {
    const clock = new ManualClock();
    const progress = new TaskProgress(clock);
    progress.note([report(1, 100)]);
    clock.advance(2_000);
    expect(progress.isAtWork('a.0.0.0', 1)).toBe(false);
  });

  // Guards against a job that never ends: its tasks stall on a target that answers every renewal.
  it('finds a run that makes no progress', () => {
    const clock = new ManualClock();
    const progress = new TaskProgress(clock);
    progress.note([report(1, 30)]);
    clock.advance(1_900);
    progress.note([report(1, 30)]);
    expect(progress.isStalled('a.0.0.0', 1)).toBe(false);
    clock.advance(100);
    progress.note([report(1, 30)]);
    expect(progress.isStalled('a.0.0.0', 1)).toBe(true);
    progress.note([report(1, 31)]);
    expect(progress.isStalled('a.0.0.0', 1)).toBe(false);
  });
});
