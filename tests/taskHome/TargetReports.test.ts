import { describe, expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { TargetReports } from '../../src/taskHome/TargetReports.js';
import type { EndedTaskReport } from '../../src/targets/index.js';

const END: EndedTaskReport = {
  endNumber: 7,
  taskName: 'a.0.0.0',
  run: 1,
  end: 'done',
  checkpoint: undefined,
};

/** Creates a handler whose ends are taken once, and stored or not as the flush says. */
function createReports(flush: () => Promise<void>) {
  const events = new MemoryEventLog();
  const acknowledge = vi.fn();
  const takeNewEnds = vi.fn((_targetId: string, ended: readonly EndedTaskReport[]) => ended);
  const reports = new TargetReports({
    runs: { handleReport: () => undefined, handleLostTarget: () => undefined },
    getSessions: () => ({ acknowledge, takeNewEnds }),
    flush,
    flushInBackground: () => undefined,
    isClosed: () => false,
    writer: { endOffset: 42 },
    partition: 5,
    term: 3,
    events,
  });
  reports.handleLoaded();
  const report = (ended: readonly EndedTaskReport[]): Promise<void> =>
    reports.handleReport('t1', {
      answer: { type: 'report', targetClockMs: 0, running: [], ended },
      askedAtMs: 0,
      hasExtendedLease: true,
    });
  return { events, acknowledge, takeNewEnds, report };
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
});
