import { describe, expect, it } from 'vitest';
import { LoopLoad, ManualClock } from '../../src/utils/index.js';

describe('LoopLoad', () => {
  it('tells the smaller share of two windows, so that one long turn alone counts as no load', () => {
    const clock = new ManualClock();
    const shares = [0.95, 0.8, 0.2];
    const load = new LoopLoad({ clock, readShare: () => shares.shift()! });
    expect(load.measureShare()).toBe(0);
    clock.advance(250);
    expect(load.measureShare()).toBe(0);
    clock.advance(250);
    expect(load.measureShare()).toBe(0.8);
    clock.advance(100);
    expect(load.measureShare()).toBe(0.8);
    clock.advance(150);
    expect(load.measureShare()).toBe(0.2);
  });
});
