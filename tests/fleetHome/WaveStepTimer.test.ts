import { describe, expect, it } from 'vitest';
import { WaveStepTimer } from '../../src/fleetHome/WaveStepTimer.js';
import { ManualClock } from '../../src/utils/index.js';

describe('WaveStepTimer', () => {
  // A wave took eight VMs out at once in the front of a rush, though it had 25 s for 19 VMs that
  // were out for 2.5 s each: it reckoned with 6 s.
  it('expects what steps were seen to take, with a margin, and 6 s before the first', () => {
    const clock = new ManualClock();
    const steps = new WaveStepTimer(clock);
    expect(steps.expectedMs).toBe(6_000);
    steps.begin('m1');
    clock.advance(2_000);
    steps.noteOut(new Set(['m1']));
    expect(steps.expectedMs).toBe(6_000);
    steps.noteOut(new Set());
    expect(steps.expectedMs).toBe(3_000);
  });

  it('never expects more than the longest step', () => {
    const clock = new ManualClock();
    const steps = new WaveStepTimer(clock);
    steps.begin('m1');
    clock.advance(60_000);
    steps.noteOut(new Set());
    expect(steps.expectedMs).toBe(6_000);
  });
});
