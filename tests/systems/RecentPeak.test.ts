import { describe, expect, it } from 'vitest';
import { RecentPeak } from '../../src/systems/index.js';
import { ManualClock } from '../../src/utils/index.js';

describe('RecentPeak', () => {
  it('keeps the highest value of the window, and then the highest of the later ones', () => {
    const clock = new ManualClock();
    const peak = new RecentPeak(clock, 1_000);
    expect(peak.record(5)).toBe(5);
    clock.advance(400);
    expect(peak.record(3)).toBe(5);
    clock.advance(400);
    expect(peak.record(2)).toBe(5);
    clock.advance(200);
    expect(peak.record(1)).toBe(3);
    expect(peak.record(9)).toBe(9);
  });
});
