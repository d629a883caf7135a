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
  // Guards against a fixed reserve: idle pools of 50 targets kept three VMs, as pools of six did,
  // so the first seconds of each load peak had a twentieth of the capacity they needed, and a third
  // of its jobs were late.
  it('keeps a quarter of what operators gave a pool, and of the most that it used', () => {
    const peaks = new PoolPeaks(new ManualClock());
    peaks.record(makeDemand('small', fill(6, 0)));
    peaks.record(makeDemand('large', fill(50, 0)));
    expect([...peaks.getReserveCounts()]).toEqual([
      ['small', 3],
      ['large', 13],
    ]);
    peaks.record(makeDemand('small', fill(24, VM_CORES)));
    peaks.record(makeDemand('small', fill(4, 0)));
    expect(peaks.getReserveCounts().get('small')).toBe(6);
  });

  // Guards against lost peaks at a takeover: after a power failure, a pool that had used 40 VMs
  // started its load peak with three, as the new home of the fleet took the few VMs that the pool
  // had at that moment for its usual number.
  it('goes on with the peaks of an earlier home, whatever its pools have at that moment', () => {
    const clock = new ManualClock();
    const earlier = new PoolPeaks(clock);
    earlier.record(makeDemand('emptied', fill(40, VM_CORES)));
    earlier.record(makeDemand('flooded', fill(12, VM_CORES)));
    const peaks = new PoolPeaks(clock, earlier.list());
    peaks.record(makeDemand('emptied', fill(3, 0)));
    peaks.record(makeDemand('flooded', fill(180, 1)));
    peaks.record(makeDemand('new', fill(20, 0)));
    expect([...peaks.getReserveCounts()]).toEqual([
      ['emptied', 10],
      ['flooded', 3],
      ['new', 5],
    ]);
  });

  // Guards against decay by the wall clock: after the clock of the fleet's home had jumped ahead by
  // 40 minutes for six seconds, every peak had decayed and all pools kept three VMs each.
  it('keeps a peak while the time of day jumps, also over a change of homes', () => {
    const clock = new ManualClock();
    const earlier = new PoolPeaks(clock);
    earlier.record(makeDemand('a', fill(40, VM_CORES)));
    clock.jump(2_400_000);
    earlier.record(makeDemand('a', fill(4, 0)));
    expect(earlier.getReserveCounts().get('a')).toBe(10);
    const peaks = new PoolPeaks(clock, earlier.list());
    clock.jump(2_400_000);
    expect(peaks.getReserveCounts().get('a')).toBe(10);
  });

  it('forgets a peak slowly', () => {
    const clock = new ManualClock();
    const peaks = new PoolPeaks(clock);
    peaks.record(makeDemand('a', fill(40, VM_CORES)));
    clock.advance(300_000);
    expect(peaks.getReserveCounts().get('a')).toBe(5);
  });
});
