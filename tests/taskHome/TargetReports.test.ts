import { describe, expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { TargetReports } from '../../src/taskHome/TargetReports.js';
import type { TargetLossReason } from '../../src/taskHome/TargetSessions.js';
import type { EndedTaskReport } from '../../src/targets/index.js';

const END: EndedTaskReport = {
  endNumber: 7,
  taskName: 'a.0.0.0',
  run: 1,
  end: 'done',
  checkpoint: undefined,
};

/** Creates a handler without jobs whose ends are taken once, and stored as the flush says. */
function createLoadingReports(flush: () => Promise<void>) {
  const events = new MemoryEventLog();
  const acknowledge = vi.fn();
  const takeNewEnds = vi.fn((_targetId: string, ended: readonly EndedTaskReport[]) => ended);
  const handleLostTarget = vi.fn();
  const reports = new TargetReports({
    runs: { handleReport: () => undefined, handleLostTarget },
    getSessions: () => ({ acknowledge, takeNewEnds }),
    flush,
    flushInBackground: () => undefined,
    isClosed: () => false,
    writer: { endOffset: 42 },
    partition: 5,
    term: 3,
    events,
  });
  const report = (ended: readonly EndedTaskReport[]): Promise<void> =>
    reports.handleReport('t1', {
      answer: { type: 'report', targetClockMs: 0, running: [], ended, hasAllEnds: true },
      askedAtMs: 0,
      hasExtendedLease: true,
    });
  return { reports, events, acknowledge, takeNewEnds, handleLostTarget, report };
}

/** Creates such a handler that has the jobs. */
function createReports(flush: () => Promise<void>) {
  const created = createLoadingReports(flush);
  created.reports.handleLoaded();
  return created;
}

describe('TargetReports', () => {
  it('logs up to which offset and in which term the ends of a report are stored', async () => {
    const { events, acknowledge, report } = createReports(async () => undefined);
    await report([{ ...END, endNumber: 6, taskName: 'b.0.0.0' }, END]);
    expect(acknowledge).toHaveBeenCalledExactlyOnceWith('t1', 7);
    const taskNames = ['b.0.0.0', 'a.0.0.0'];
    const place = { partition: 5, term: 3, endOffset: 42 };
    expect(events.events).toEqual([
      {
        event: 'endsStored',
        fields: { ...place, targetId: 't1', lastEndNumber: 7, taskNames },
      },
    ]);
  });

  // Guards against a flood of lines after an outage of the store, during which a target has
  // repeated the same ends in each report.
  it('logs ends once that a target repeats until they are acknowledged', async () => {
    const { events, takeNewEnds, report } = createReports(async () => undefined);
    await report([END]);
    takeNewEnds.mockReturnValue([]);
    await report([END]);
    await report([]);
    expect(events.events).toHaveLength(1);
  });

  // Guards against a log that shows ends as stored which the next home does not know.
  it('neither logs nor acknowledges ends that are not stored', async () => {
    const { events, acknowledge, report } = createReports(() => Promise.reject(new Error('gone')));
    await report([END]);
    expect(acknowledge).not.toHaveBeenCalled();
    expect(events.events).toEqual([]);
  });

  // Guards against tasks that start elsewhere although their target is back once jobs are known.
  it('keeps no lapse until the jobs are known, but a loss for any other reason', () => {
    const { reports, handleLostTarget } = createLoadingReports(async () => undefined);
    const losses: readonly (readonly [string, TargetLossReason])[] = [
      ['t1', 'lapsed'],
      ['t2', 'unlisted'],
      ['t3', 'lapsed'],
      ['t3', 'other-lifetime'],
    ];
    losses.forEach(([targetId, reason]) => reports.handleGone(targetId, reason));
    expect(handleLostTarget).not.toHaveBeenCalled();
    reports.handleLoaded();
    expect(handleLostTarget.mock.calls).toEqual([losses[1], losses[3]]);
    reports.handleGone('t1', 'lapsed');
    expect(handleLostTarget).toHaveBeenLastCalledWith('t1', 'lapsed');
  });
});
