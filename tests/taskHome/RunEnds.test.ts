import { describe, expect, it, vi } from 'vitest';
import { createJobRow, endRun, placeTask, type RunEnd } from '../../src/jobs/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { MemoryMetrics } from '../../src/metrics/index.js';
import { JobBeginnings } from '../../src/taskHome/JobBeginnings.js';
import { JobTable } from '../../src/taskHome/JobTable.js';
import { JobTelemetry } from '../../src/taskHome/JobTelemetry.js';
import { RunEnds } from '../../src/taskHome/RunEnds.js';
import { RunTimer } from '../../src/taskHome/RunTimer.js';
import { TargetHealth } from '../../src/taskHome/TargetHealth.js';
import { TaskProgress } from '../../src/taskHome/TaskProgress.js';
import { ManualClock } from '../../src/utils/index.js';
import { createOrders } from './createOrders.js';
import { makeJob, makeStep } from './HomeWorld.js';

const FIRST = { taskName: 'a.0.0.0', run: 1, targetId: 't1' };
const SECOND = { taskName: 'a.0.0.0', run: 2, targetId: 't2' };
const DONE: RunEnd = { end: 'done', checkpoint: undefined };
const STOPPED: RunEnd = { end: 'stopped', checkpoint: undefined };
const LAPSED: RunEnd = { end: 'lapsed', checkpoint: undefined };

/** Creates a job of two tasks, of which the first has lapsed on `t1` and is placed on `t2`. */
function createEnds(isLongRunning: boolean, lapsed: RunEnd = LAPSED) {
  const clock = new ManualClock();
  const events = new MemoryEventLog();
  const table = new JobTable(clock);
  const placed = placeTask(
    createJobRow(makeJob('a', [makeStep({ taskCount: 2, isLongRunning })])),
    0,
    't1',
  );
  table.add(placeTask(endRun(placed, 0, lapsed, 0), 0, 't2'));
  const { orders, port } = createOrders();
  orders.reserve(SECOND);
  const timer = new RunTimer(clock);
  timer.begin(SECOND.taskName);
  const record = vi.spyOn(timer.runTimes, 'record');
  const telemetry = new JobTelemetry({ events, metrics: new MemoryMetrics(), clock, term: 3 });
  const ends = new RunEnds({
    table,
    beginnings: new JobBeginnings({ table, telemetry }),
    orders,
    health: new TargetHealth({ clock, events }),
    progress: new TaskProgress(clock),
    timer,
    uneven: { noteEnd: () => undefined },
    telemetry,
    clock,
  });
  return { ends, orders, port, record, getTask: () => table.getActive('a')!.tasks[0] };
}

describe('RunEnds', () => {
  // Guards against a service that is placed once more because a target reports a late end of it.
  it('ignores that an earlier run of a long-running task is done', () => {
    const { ends, orders, port, getTask } = createEnds(true);
    orders.start(SECOND);
    ends.applyReported(FIRST, DONE);
    expect(getTask()).toMatchObject({ phase: 'placed', run: 2, targetId: 't2' });
    expect(orders.isOrdered(SECOND)).toBe(true);
    expect(port.stop).not.toHaveBeenCalled();
  });

  // Guards against a stop of a run that was never sent, and capacity that counts as taken up by it.
  it('forgets the run of a task that an earlier run has done, if it was not sent', () => {
    const { ends, orders, port, getTask } = createEnds(false);
    ends.applyReported(FIRST, DONE);
    expect(getTask()).toMatchObject({ phase: 'done' });
    expect(orders.isOrdered(SECOND)).toBe(false);
    expect(orders.hasUnwantedRuns('t2')).toBe(false);
    expect(port.stop).not.toHaveBeenCalled();
  });

  // Guards against a run that goes on although its task is done, and takes up capacity unnoticed.
  it('stops the run of a task that an earlier run has done, if it was sent', () => {
    const { ends, orders, port, getTask } = createEnds(false);
    orders.start(SECOND);
    ends.applyReported(FIRST, DONE);
    expect(getTask()).toMatchObject({ phase: 'done' });
    expect(port.stop.mock.calls).toEqual([
      [expect.objectContaining({ targetId: 't2' }), 'a.0.0.0', 2, 3],
    ]);
    expect(orders.isOrdered(SECOND)).toBe(true);
    expect(['t1', 't2'].map((id) => orders.hasUnwantedRuns(id))).toEqual([false, true]);
    ends.applyReported(SECOND, STOPPED);
    expect(getTask()).toMatchObject({ phase: 'done' });
    expect(orders.isOrdered(SECOND)).toBe(false);
    expect(orders.hasUnwantedRuns('t2')).toBe(false);
  });

  // Guards against run times that are learned too short, as tasks that were stopped have resumed.
  it('learns the time of a run only if it has done all the work', () => {
    const whole = createEnds(false);
    whole.ends.applyReported(SECOND, DONE);
    expect(whole.record).toHaveBeenCalledTimes(1);
    const resumed = createEnds(false, { end: 'lapsed', checkpoint: 'saved' });
    resumed.ends.applyReported(SECOND, DONE);
    expect(resumed.record).not.toHaveBeenCalled();
  });
});
