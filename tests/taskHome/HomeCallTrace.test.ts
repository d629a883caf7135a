import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { HomeCallTrace } from '../../src/taskHome/HomeCallTrace.js';
import { ManualClock } from '../../src/utils/index.js';

const NO_WAITS = {
  noHomeMs: 0,
  loadingMs: 0,
  refusedMs: 0,
  unansweredMs: 0,
  localMs: 0,
  peerMs: 0,
  refreshMs: 0,
};

describe('HomeCallTrace', () => {
  const fields = { call: 'get-durable-job', pool: 'pages', partition: 4, jobId: 'a' };
  let events: MemoryEventLog;
  let clock: ManualClock;
  let trace: HomeCallTrace;

  beforeEach(() => {
    vi.useFakeTimers();
    events = new MemoryEventLog();
    clock = new ManualClock();
    trace = new HomeCallTrace({ clock, events, fields });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('logs what a call without a reply has waited for', () => {
    trace.noteAttempt();
    trace.begin('noHome');
    clock.advance(100);
    trace.begin('refresh');
    clock.advance(30);
    trace.noteAttempt();
    trace.noteHome('b', false);
    clock.advance(700);
    trace.end();
    const waits = { ...NO_WAITS, noHomeMs: 100, refreshMs: 30, peerMs: 700 };
    const outcome = { home: 'b', isReplied: false, tookMs: 830, attemptCount: 2 };
    expect(events.events).toEqual([
      { event: 'homeCallWaited', fields: { ...fields, ...outcome, ...waits } },
    ]);
  });

  it.each([
    [1_000, 0],
    [1_001, 1],
  ])('logs a call that got a reply after %d ms %d times', (tookMs, count) => {
    trace.noteAttempt();
    trace.noteHome('a', true);
    clock.advance(tookMs);
    trace.noteReply();
    trace.end();
    expect(events.events).toHaveLength(count);
  });

  // Guards against a call that nobody bounds, of which the log would show nothing as it never ends.
  it('logs once what a call waits for that does not end', () => {
    trace.noteAttempt();
    clock.advance(100);
    trace.begin('refresh');
    clock.advance(4_900);
    vi.advanceTimersByTime(20_000);
    const outcome = { home: undefined, isReplied: false, tookMs: 5_000, attemptCount: 1 };
    const current = { waitsFor: 'refresh', waitsForMs: 4_900 };
    expect(events.events).toEqual([
      { event: 'homeCallOpen', fields: { ...fields, ...outcome, ...NO_WAITS, ...current } },
    ]);
  });

  it('logs no call as open that has ended', () => {
    trace.noteReply();
    trace.end();
    vi.advanceTimersByTime(20_000);
    expect(events.events).toEqual([]);
  });
});
