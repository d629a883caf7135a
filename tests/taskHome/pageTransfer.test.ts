import { expect, it } from 'vitest';
import {
  countPagesAtOnce,
  getLongestPageDelayMs,
  getLongestPageSilenceMs,
  getLongestRenewalsWaitMs,
} from '../../src/taskHome/pageTransfer.js';

it.each([
  { linkMbps: 2, pageCount: 1, delayMs: 4_000, waitMs: 500, silenceMs: 4_500 },
  { linkMbps: 7, pageCount: 1, delayMs: 1_143, waitMs: 500, silenceMs: 1_643 },
  { linkMbps: 140, pageCount: 8, delayMs: 500, waitMs: 58, silenceMs: 1_000 },
])(
  'reads $pageCount pages at once on $linkMbps Mbit/s, which takes $delayMs ms',
  ({ linkMbps, pageCount, delayMs, waitMs, silenceMs }) => {
    expect(countPagesAtOnce(linkMbps)).toBe(pageCount);
    expect(getLongestPageDelayMs(linkMbps)).toBe(delayMs);
    expect(getLongestRenewalsWaitMs(linkMbps)).toBe(waitMs);
    expect(getLongestPageSilenceMs(linkMbps)).toBe(silenceMs);
  },
);
