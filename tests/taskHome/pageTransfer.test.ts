import { expect, it } from 'vitest';
import { countPagesAtOnce, getLongestPageDelayMs } from '../../src/taskHome/pageTransfer.js';

it.each([
  { linkMbps: 2, pageCount: 1, delayMs: 4_000 },
  { linkMbps: 7, pageCount: 1, delayMs: 1_143 },
  { linkMbps: 140, pageCount: 8, delayMs: 500 },
])(
  'reads $pageCount pages at once on $linkMbps Mbit/s, which takes $delayMs ms',
  ({ linkMbps, pageCount, delayMs }) => {
    expect(countPagesAtOnce(linkMbps)).toBe(pageCount);
    expect(getLongestPageDelayMs(linkMbps)).toBe(delayMs);
  },
);
