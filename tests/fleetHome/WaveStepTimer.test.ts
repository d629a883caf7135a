import { describe, expect, it } from 'vitest';
import { WaveStepTimer } from '../../src/fleetHome/WaveStepTimer.js';
import { ManualClock } from '../../src/utils/index.js';

describe('WaveStepTimer', () => {
  // Guards against a wave that takes out eight VMs at once at the start of a load peak, although it
  // has 25 s for 19 VMs that are out for 2.5 s each, because it assumes 6 s per step.
  it('expects the measured duration of steps plus a margin, and 6 s before the first step', () => {
    const clock = new ManualClock();
    const steps = new WaveStepTimer(clock);
    expect(steps.expectedMs).toBe(6_000);
    steps.startStep('m1');
    clock.advance(2_000);
    steps.endStepsExcept(new Set(['m1']));
    expect(steps.expectedMs).toBe(6_000);
    steps.endStepsExcept(new Set());
    expect(steps.expectedMs).toBe(3_000);
  });

  it('never expects more than the longest step', () => {
    const clock = new ManualClock();
    const steps = new WaveStepTimer(clock);
    steps.startStep('m1');
    clock.advance(60_000);
    steps.endStepsExcept(new Set());
    expect(steps.expectedMs).toBe(6_000);
  });
});
