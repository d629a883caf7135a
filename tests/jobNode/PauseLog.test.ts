import { describe, expect, it } from 'vitest';
import { PauseLog } from '../../src/jobNode/PauseLog.js';
import { TimerWatch } from '../../src/jobNode/TimerWatch.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { ManualClock } from '../../src/utils/index.js';

describe('PauseLog', () => {
  // Guards against decisions on old knowledge that no log line explains.
  it('logs that the process did not run, and not that it was busy', () => {
    const clock = new ManualClock();
    const events = new MemoryEventLog();
    const log = new PauseLog(events);
    const watch = new TimerWatch({ clock, onDelay: (delayMs) => log.noteDelay(delayMs) });
    watch.start();
    [250, 700, 250, 2_250].forEach((elapsedMs) => {
      clock.advance(elapsedMs);
      watch.check();
    });
    watch.stop();
    expect(events.events).toMatchObject([{ event: 'processPaused', fields: { forMs: 2_000 } }]);
  });
});
