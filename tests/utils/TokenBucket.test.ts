import { describe, expect, it } from 'vitest';
import { TokenBucket } from '../../src/utils/index.js';

describe('TokenBucket', () => {
  it('allows a burst, then as many actions as the rate', () => {
    const bucket = new TokenBucket({ ratePerS: 10, burstCount: 3 });
    const atOnce = [0, 0, 0, 0].map((nowMs) => bucket.take(nowMs));
    expect(atOnce).toEqual([true, true, true, false]);
    expect([50, 100, 100, 200].map((nowMs) => bucket.take(nowMs))).toEqual([
      false,
      true,
      false,
      true,
    ]);
  });

  it('keeps no more than a burst, however long the pause', () => {
    const bucket = new TokenBucket({ ratePerS: 10, burstCount: 2 });
    bucket.take(0);
    const later = [60_000, 60_000, 60_000].map((nowMs) => bucket.take(nowMs));
    expect(later).toEqual([true, true, false]);
  });

  it('allows one action and no further one at a rate of zero', () => {
    const bucket = new TokenBucket({ ratePerS: 0, burstCount: 1 });
    expect([0, 1_000_000].map((nowMs) => bucket.take(nowMs))).toEqual([true, false]);
  });
});
