import { describe, expect, it } from 'vitest';
import { planPace } from '../../src/systems/index.js';

const paced = (percent: number) => [{ taskName: 'a.0.1.0', run: 1, percent }];
const serving = (latencyMs: number) => [{ latencyMs, latencyTargetMs: 100 }];
const percentAfter = (latencyMs: number, percent: number): number | undefined =>
  planPace(serving(latencyMs), paced(percent))[0]?.percent;

describe('planPace', () => {
  // Guards against slow throttling: users waited seconds for a page while a crawl used the rest of
  // the machine, since it was slowed in small steps and only after the target had been missed for a
  // while.
  it('slows best-effort tasks before a target is missed, and stops them with the next report', () => {
    expect(percentAfter(90, 100)).toBe(30);
    expect(percentAfter(90, 30)).toBe(0);
    expect(percentAfter(150, 0)).toBeUndefined();
  });

  it('gives speed back in small steps, up to the whole', () => {
    expect(percentAfter(40, 0)).toBe(15);
    expect(percentAfter(40, 90)).toBe(100);
    expect(percentAfter(40, 100)).toBeUndefined();
  });

  it('leaves the speed alone in between', () => {
    expect(percentAfter(70, 50)).toBeUndefined();
  });

  it('goes by the serving task that is closest to its target', () => {
    const loads = [...serving(10), ...serving(95)];
    expect(planPace(loads, paced(100))[0]?.percent).toBe(30);
  });
});
