import { beforeEach, describe, expect, it } from 'vitest';
import { cancelJob, createJobRow, placeTask } from '../../src/jobs/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { JobTable } from '../../src/taskHome/JobTable.js';
import { RunStopper } from '../../src/taskHome/RunStopper.js';
import { TargetHealth } from '../../src/taskHome/TargetHealth.js';
import { TaskProgress } from '../../src/taskHome/TaskProgress.js';
import type { RunningTaskReport } from '../../src/targets/index.js';
import { ManualClock } from '../../src/utils/index.js';
import { makeJob, makeStep } from './HomeWorld.js';
import { makeProgressReport } from './makeProgressReport.js';

const STALLED_MS = 2_000;

/** Orders that only record the calls. */
class FakeOrders {
  readonly unsent = new Set<string>();

  readonly stopped: string[] = [];

  readonly forgotten: string[] = [];

  isUnsent(taskName: string): boolean {
    return this.unsent.has(taskName);
  }

  isStopping(taskName: string): boolean {
    return this.stopped.includes(taskName);
  }

  stop(taskName: string): void {
    this.stopped.push(taskName);
  }

  forget(taskName: string): void {
    this.forgotten.push(taskName);
  }
}

describe('RunStopper', () => {
  let clock: ManualClock;
  let table: JobTable;
  let orders: FakeOrders;
  let health: TargetHealth;
  let progress: TaskProgress;
  let stopper: RunStopper;
  let isHome: boolean;

  beforeEach(() => {
    clock = new ManualClock();
    const events = new MemoryEventLog();
    table = new JobTable();
    orders = new FakeOrders();
    health = new TargetHealth({ clock, events });
    progress = new TaskProgress(clock);
    isHome = true;
    const isGroupLeaseHeld = (): boolean => isHome;
    stopper = new RunStopper({ table, orders, health, progress, events, isGroupLeaseHeld });
  });

  /** Notes a report that was asked for, made and read at this moment; returns what it shows. */
  const note = (progressPercent: number): readonly RunningTaskReport[] => {
    const report = makeProgressReport({ progressPercent, askedAtMs: clock.monotonicMs() });
    progress.note(report);
    return report.answer.running;
  };

  it('stops the sent runs of a finished job and takes the unsent ones back', () => {
    const row = createJobRow(makeJob('a', [makeStep({ taskCount: 2 })]));
    table.add(cancelJob(placeTask(placeTask(row, 0, 't1'), 1, 't2'), 0));
    orders.unsent.add('a.0.0.1');
    stopper.stopFinished();
    expect(orders.stopped).toEqual(['a.0.0.0']);
    expect(orders.forgotten).toEqual(['a.0.0.1']);
    expect(table.getActive('a')!.tasks.map(({ phase }) => phase)).toEqual(['placed', 'waiting']);
  });

  it('does not stop the runs of an unfinished job', () => {
    table.add(placeTask(createJobRow(makeJob('a')), 0, 't1'));
    stopper.stopFinished();
    expect(orders.stopped).toEqual([]);
  });

  it('stops a stalled run, and avoids its target', () => {
    table.add(placeTask(createJobRow(makeJob('a')), 0, 't1'));
    stopper.stopStalled('t1', note(30));
    expect(orders.stopped).toEqual([]);
    clock.advance(STALLED_MS);
    stopper.stopStalled('t1', note(30));
    expect(orders.stopped).toEqual(['a.0.0.0']);
    expect(health.isAvoided('t1')).toBe(true);
  });

  // Guards against a home that may have been replaced and stops a task that it can't start again.
  it('leaves a stalled run alone while another instance may be the home', () => {
    table.add(placeTask(createJobRow(makeJob('a')), 0, 't1'));
    note(30);
    clock.advance(STALLED_MS);
    isHome = false;
    stopper.stopStalled('t1', note(30));
    expect(orders.stopped).toEqual([]);
    isHome = true;
    stopper.stopStalled('t1', note(30));
    expect(orders.stopped).toEqual(['a.0.0.0']);
  });

  it('does not stop a stalled member of a gang', () => {
    const row = createJobRow(makeJob('a', [makeStep({ taskCount: 2, isGang: true })]));
    table.add(placeTask(placeTask(row, 0, 't1'), 1, 't2'));
    note(30);
    clock.advance(STALLED_MS);
    stopper.stopStalled('t1', note(30));
    expect(orders.stopped).toEqual([]);
    expect(health.isAvoided('t1')).toBe(false);
  });

  it('stops the other members of a gang', () => {
    const row = createJobRow(makeJob('a', [makeStep({ taskCount: 3, isGang: true })]));
    const placed = [0, 1, 2].reduce((before, position) => placeTask(before, position, 't1'), row);
    stopper.stopGangMates(placed, 1);
    expect(orders.stopped).toEqual(['a.0.0.0', 'a.0.0.2']);
  });

  it('stops a long-running task on a drained target only while it is at work', () => {
    const step = makeStep({ isLongRunning: true, maxUnavailableCount: 1 });
    table.add(placeTask(createJobRow(makeJob('a', [step])), 0, 't1'));
    note(40);
    stopper.evacuate(new Set(['t1']));
    expect(orders.stopped).toEqual([]);
    note(100);
    stopper.evacuate(new Set(['t2']));
    expect(orders.stopped).toEqual([]);
    stopper.evacuate(new Set(['t1']));
    expect(orders.stopped).toEqual(['a.0.0.0']);
  });
});
