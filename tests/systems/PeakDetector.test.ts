import { beforeEach, describe, expect, it } from 'vitest';
import { PeakDetector } from '../../src/systems/PeakDetector.js';
import type { PoolDemand } from '../../src/systems/index.js';

const PASS_MS = 200;
const KNOWN_VM_COUNT = 50;
const VM_MILLICORES = 64_000;

/** Creates a demand of a pool of 100 VMs, in VMs. */
function makeDemand(usedVmCount: number, neededVmCount = usedVmCount): PoolDemand {
  return {
    pool: 'p1',
    targets: Array.from({ length: 100 }, (_, index) => ({
      targetId: `t${index}`,
      runCount: 0,
      longRunningCount: 0,
      usedCpuMillicores: (usedVmCount * VM_MILLICORES) / 100,
      cpuMillicores: VM_MILLICORES,
    })),
    waitingCpuMillicores: 0,
    neededCpuMillicores: neededVmCount * VM_MILLICORES,
    lateCpuMillicores: 0,
    wholeVmCount: 0,
    jobCount: 1,
  };
}

describe('PeakDetector', () => {
  let detector: PeakDetector;
  let nowMs: number;

  beforeEach(() => {
    detector = new PeakDetector('p1');
    nowMs = 10_000;
  });

  /** Observes loads in passes of 0.2 s; returns the changes. */
  function observe(...demands: readonly PoolDemand[]): readonly string[] {
    return demands.flatMap((demand) => {
      nowMs += PASS_MS;
      const change = detector.observe(demand, KNOWN_VM_COUNT, nowMs);
      return change === undefined ? [] : [change.type];
    });
  }

  const repeat = (demand: PoolDemand, count: number): readonly PoolDemand[] =>
    Array.from({ length: count }, () => demand);

  it('dates a beginning back to the start of the rise', () => {
    observe(...repeat(makeDemand(4), 20));
    const roseAtMs = nowMs;
    const rise = [12, 16, 22, 30, 40, 50].map((vmCount) => makeDemand(vmCount));
    expect(observe(...rise)).toEqual(['began']);
    expect(detector.peak).toMatchObject({ beganAtMs: roseAtMs + PASS_MS / 2, vmCount: 50 });
  });

  it('ends a peak once the load has been low for a second', () => {
    observe(...repeat(makeDemand(4), 20), ...repeat(makeDemand(60), 20));
    expect(observe(...repeat(makeDemand(5), 5))).toEqual([]);
    expect(observe(...repeat(makeDemand(5), 1))).toEqual(['ended']);
  });

  // Guards against a turn that is counted because one pass saw a burst of jobs.
  it('ignores a high load of one pass', () => {
    observe(...repeat(makeDemand(4), 20));
    expect(observe(makeDemand(60), ...repeat(makeDemand(4), 10))).toEqual([]);
  });

  // Guards against a forecast of the need that is far off and that counts as a peak.
  it('ignores a need that is forecast below the double of a peak', () => {
    observe(...repeat(makeDemand(4), 20));
    expect(observe(...repeat(makeDemand(4, 35), 10))).toEqual([]);
    expect(observe(...repeat(makeDemand(4, 60), 10))).toEqual(['began']);
  });

  // Guards against a new home of a pool, which at first reports no load, and ends its peak.
  it('goes on with a peak after half a second without load', () => {
    observe(...repeat(makeDemand(4), 20), ...repeat(makeDemand(60), 5));
    expect(observe(...repeat(makeDemand(0), 3), ...repeat(makeDemand(60), 10))).toEqual([]);
  });

  it('takes the middle of a time without answers as the time of the rise', () => {
    observe(...repeat(makeDemand(4), 20));
    const silentSinceMs = nowMs;
    nowMs += 2_000;
    observe(...repeat(makeDemand(60), 4));
    expect(detector.peak?.beganAtMs).toBe(silentSinceMs + 1_100);
  });

  it('knows that it has not seen the beginning of a peak that it finds', () => {
    expect(observe(...repeat(makeDemand(60), 2))).toEqual(['began']);
    expect(detector.peak?.isBeginSeen).toBe(false);
  });

  it('finds no peak while the size of the pool is unknown', () => {
    expect(detector.observe(makeDemand(60), 0, nowMs)).toBeUndefined();
    expect(detector.peak).toBeUndefined();
  });
});
