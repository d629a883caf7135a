import { describe, expect, it } from 'vitest';
import { LoopLoad, ManualClock } from '../../src/utils/index.js';

describe('LoopLoad', () => {
  it('measures over a window, and keeps the share until the next one has passed', () => {
    const clock = new ManualClock();
    const shares = [0.95, 0.2];
    const load = new LoopLoad({ clock, readShare: () => shares.shift()! });
    expect(load.share).toBe(0);
    clock.advance(250);
    expect(load.share).toBe(0.95);
    clock.advance(100);
    expect(load.share).toBe(0.95);
    clock.advance(150);
    expect(load.share).toBe(0.2);
  });
});
