import { expect, it } from 'vitest';
import { SystemClock, waitUntil } from '../../src/utils/index.js';

const clock = new SystemClock();
const CHECK_EVERY_MS = 1;

it('ends once the condition holds', async () => {
  let checkCount = 0;
  const isMet = (): boolean => {
    checkCount += 1;
    return checkCount === 3;
  };
  await waitUntil(isMet, { clock, deadlineMs: Infinity, checkEveryMs: CHECK_EVERY_MS });
  expect(checkCount).toBe(3);
});

it('ends at its deadline', async () => {
  const deadlineMs = clock.monotonicMs() + 20;
  await waitUntil(() => false, { clock, deadlineMs, checkEveryMs: CHECK_EVERY_MS });
  expect(clock.monotonicMs()).toBeGreaterThanOrEqual(deadlineMs);
});
