import { describe, expect, it } from 'vitest';
import { ArrivalRate } from '../../src/systems/ArrivalRate.js';
import { ManualClock } from '../../src/utils/index.js';

/** Work of one job: ten cores for a second. */
const WORK = 10_000 * 1_000;

function measure(gapMs: number, count: number): number {
  const clock = new ManualClock();
  const rate = new ArrivalRate(clock);
  Array.from({ length: count }).forEach(() => {
    clock.advance(gapMs);
    rate.record(WORK);
  });
  return rate.cpuMillicores;
}

describe('ArrivalRate', () => {
  it('follows a load peak of many jobs within 0.7 s', () => {
    expect(measure(70, 12)).toBeGreaterThan(120_000);
    expect(measure(70, 12)).toBeLessThan(180_000);
  });

  // Guards against a short span for rare jobs: when five exports arrived within a second by chance,
  // the pool requested 50 VMs and kept 24 for five seconds, ten of them idle, and the load peak of
  // the next pool started with three.
  it('does not treat a few large jobs that arrive together as a load peak', () => {
    const clock = new ManualClock();
    const rate = new ArrivalRate(clock);
    clock.advance(10_000);
    [0, 50, 100].forEach(() => rate.record(WORK));
    expect(rate.cpuMillicores).toBe(15_000);
  });

  // Guards against VMs that are ordered by the current rate during a rise: the rate had doubled
  // when they became available, and the first 2.5 s of each load peak were lost.
  it('extrapolates a rising arrival rate', () => {
    const clock = new ManualClock();
    const rate = new ArrivalRate(clock);
    // One job in 350 ms, then five.
    [350, 70, 70, 70, 70, 70].forEach((gapMs) => {
      clock.advance(gapMs);
      rate.record(WORK);
    });
    expect(rate.cpuMillicores).toBeCloseTo(86_000, -3);
    expect(rate.forecastCpuMillicores).toBeCloseTo((2 * 6 * WORK) / 350, -3);
  });

  it('does not extrapolate a steady rate or a few arrivals', () => {
    const clock = new ManualClock();
    const steady = new ArrivalRate(clock);
    Array.from({ length: 30 }).forEach(() => {
      clock.advance(60);
      steady.record(WORK);
    });
    expect(steady.forecastCpuMillicores).toBe(steady.cpuMillicores);
    const few = new ArrivalRate(clock);
    [0, 50, 100].forEach(() => few.record(WORK));
    expect(few.forecastCpuMillicores).toBe(few.cpuMillicores);
  });

  it('forgets what came long ago', () => {
    const clock = new ManualClock();
    const rate = new ArrivalRate(clock);
    rate.record(WORK);
    clock.advance(3_000);
    expect(rate.cpuMillicores).toBe(0);
  });
});
