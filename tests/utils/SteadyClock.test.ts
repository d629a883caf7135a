import { describe, expect, it } from 'vitest';
import { type Clock, ManualClock, SteadyClock } from '../../src/utils/index.js';

describe('SteadyClock', () => {
  // The time of day of a home jumped two seconds ahead: every search job looked too late for its
  // objective, came after all others, and 24 of 280 were not done by the end of the day.
  it('goes on with the monotonic clock where the wall time jumps', () => {
    const manual = new ManualClock(1_000);
    let jumpMs = 0;
    const jumping: Clock = {
      monotonicMs: () => manual.monotonicMs(),
      wallMs: () => manual.wallMs() + jumpMs,
    };
    const steady = new SteadyClock(jumping);
    const beforeMs = steady.wallMs();
    jumpMs = 2_000;
    manual.advance(300);
    expect(steady.wallMs() - beforeMs).toBe(300);
    expect(steady.monotonicMs()).toBe(manual.monotonicMs());
  });
});
