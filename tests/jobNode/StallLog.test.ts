import { describe, expect, it } from 'vitest';
import { StallLog } from '../../src/jobNode/StallLog.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { ManualClock } from '../../src/utils/index.js';

describe('StallLog', () => {
  // Guards against decisions on old knowledge that no log line explains.
  it('logs that the process did not run, and not that it was busy', () => {
    const clock = new ManualClock();
    const events = new MemoryEventLog();
    const log = new StallLog({ clock, events });
    log.start();
    [250, 700, 250, 2_250].forEach((elapsedMs) => {
      clock.advance(elapsedMs);
      log.check();
    });
    log.stop();
    expect(events.events).toMatchObject([{ event: 'processStalled', fields: { forMs: 2_000 } }]);
  });
});
