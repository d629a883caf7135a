import { describe, expect, it } from 'vitest';
import { LoadLog } from '../../src/jobNode/LoadLog.js';
import { TimerWatch } from '../../src/jobNode/TimerWatch.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { ManualClock } from '../../src/utils/index.js';

describe('LoadLog', () => {
  // Guards against a home without processor time that nothing tells from one that waits for others.
  it('logs processor time and the longest delay of a timer, once a second', () => {
    const clock = new ManualClock();
    const events = new MemoryEventLog();
    let cpuMs = 100;
    const log = new LoadLog({ clock, events, getCpuMs: () => cpuMs });
    const watch = new TimerWatch({ clock, onDelay: (delayMs) => log.noteDelay(delayMs) });
    watch.start();
    [250, 330, 250, 250, 250, 250, 250, 250].forEach((elapsedMs) => {
      clock.advance(elapsedMs);
      cpuMs += 50;
      watch.check();
    });
    watch.stop();
    expect(events.events).toMatchObject([
      { event: 'instanceLoad', fields: { forMs: 1_080, cpuMs: 200, longestDelayMs: 80 } },
      { event: 'instanceLoad', fields: { forMs: 1_000, cpuMs: 200, longestDelayMs: 0 } },
    ]);
  });
});
