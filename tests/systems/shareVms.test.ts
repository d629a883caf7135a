import { describe, expect, it } from 'vitest';
import { shareVms } from '../../src/systems/index.js';

describe('shareVms', () => {
  it('gives every pool what it lacks if the free VMs suffice', () => {
    const shortages = [
      { pool: 'pages', priority: 1, count: 3 },
      { pool: 'media', priority: 0, count: 5 },
    ];
    expect(shareVms(shortages, 10)).toEqual([3, 5]);
  });

  it('serves the highest priority first, and a priority in proportion', () => {
    const shortages = [
      { pool: 'pages', priority: 2, count: 40 },
      { pool: 'media', priority: 0, count: 20 },
      { pool: 'search', priority: 0, count: 10 },
    ];
    const [pages, media, search] = shareVms(shortages, 32);
    expect(pages! + media! + search!).toBe(32);
    expect(pages).toBeLessThan(8);
    expect(media).toBeGreaterThan(1.8 * search!);
  });

  // Failure: a pool with work that is on time gets nothing while the peak of another one lasts.
  it.each([1, 2, 4, 9, 32])('gives each short pool some of %i free VMs', (freeCount) => {
    const shortages = [
      { pool: 'pages', priority: 0, count: 30 },
      { pool: 'media', priority: 3, count: 30 },
    ];
    const counts = shareVms(shortages, freeCount);
    expect(counts[0]! + counts[1]!).toBe(freeCount);
    if (freeCount > 1) expect(counts[1]).toBeGreaterThan(0);
  });

  it('shares nothing if nothing is lacking or free', () => {
    expect(shareVms([], 5)).toEqual([]);
    expect(shareVms([{ pool: 'pages', priority: 0, count: 3 }], 0)).toEqual([0]);
  });
});
