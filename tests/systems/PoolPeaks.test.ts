import { describe, expect, it } from 'vitest';
import { type PoolDemand, PoolPeaks, type TargetLoad } from '../../src/systems/index.js';
import { ManualClock } from '../../src/utils/index.js';

const VM_CORES = 32;

function makeDemand(pool: string, usedCores: readonly number[]): PoolDemand {
  const targets = usedCores.map((cores, number): TargetLoad => ({
    targetId: `${pool}-${number}`,
    runCount: cores > 0 ? 1 : 0,
    longRunningCount: 0,
    usedCpuMillicores: cores * 1_000,
    cpuMillicores: VM_CORES * 1_000,
  }));
  return {
    pool,
    targets,
    waitingCpuMillicores: 0,
    neededCpuMillicores: 0,
    lateCpuMillicores: 0,
    wholeVmCount: 0,
    jobCount: 0,
  };
}

const fill = (count: number, cores: number): readonly number[] => Array(count).fill(cores);

describe('PoolPeaks', () => {
  // At 50 targets a pool each idle pool kept three VMs, as it did at six: the first seconds of each
  // rush had a twentieth of the room they asked for, and a third of its jobs came late.
  it('keeps a quarter of what operators gave a pool, and of the most that it used', () => {
    const peaks = new PoolPeaks(new ManualClock());
    peaks.note(makeDemand('small', fill(6, 0)));
    peaks.note(makeDemand('large', fill(50, 0)));
    expect([...peaks.getKeptCounts()]).toEqual([
      ['small', 3],
      ['large', 13],
    ]);
    peaks.note(makeDemand('small', fill(24, VM_CORES)));
    peaks.note(makeDemand('small', fill(4, 0)));
    expect(peaks.getKeptCounts().get('small')).toBe(6);
  });

  // After a loss of power a pool began its rush with three VMs, of which it used 40 before:
  // the new home of the fleet took the few that others had left it for all that it ever had.
  it('goes on with the peaks of an earlier home, whatever its pools have at that moment', () => {
    const clock = new ManualClock();
    const earlier = new PoolPeaks(clock);
    earlier.note(makeDemand('emptied', fill(40, VM_CORES)));
    earlier.note(makeDemand('flooded', fill(12, VM_CORES)));
    const peaks = new PoolPeaks(clock, earlier.list());
    peaks.note(makeDemand('emptied', fill(3, 0)));
    peaks.note(makeDemand('flooded', fill(180, 1)));
    peaks.note(makeDemand('new', fill(20, 0)));
    expect([...peaks.getKeptCounts()]).toEqual([
      ['emptied', 10],
      ['flooded', 3],
      ['new', 5],
    ]);
  });

  // The pools of a whole fleet kept three VMs each after the clock of its home had jumped ahead by
  // 40 minutes for six seconds: every peak was forgotten as if nobody had used it for as long.
  it('keeps a peak while the time of day jumps, also over a change of homes', () => {
    const clock = new ManualClock();
    const earlier = new PoolPeaks(clock);
    earlier.note(makeDemand('a', fill(40, VM_CORES)));
    clock.jump(2_400_000);
    earlier.note(makeDemand('a', fill(4, 0)));
    expect(earlier.getKeptCounts().get('a')).toBe(10);
    const peaks = new PoolPeaks(clock, earlier.list());
    clock.jump(2_400_000);
    expect(peaks.getKeptCounts().get('a')).toBe(10);
  });

  it('forgets a peak slowly', () => {
    const clock = new ManualClock();
    const peaks = new PoolPeaks(clock);
    peaks.note(makeDemand('a', fill(40, VM_CORES)));
    clock.advance(300_000);
    expect(peaks.getKeptCounts().get('a')).toBe(5);
  });
});
