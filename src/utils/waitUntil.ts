import { setTimeout as sleep } from 'node:timers/promises';
import type { Clock } from './Clock.js';

/** Options of {@link waitUntil}. */
export interface WaitUntilOptions {
  readonly clock: Clock;
  /** Monotonic time after which nothing is waited for. */
  readonly deadlineMs: number;
  /** Pause between two checks, in milliseconds. */
  readonly checkEveryMs: number;
}

/**
 * Waits until a condition holds or a deadline has passed.
 * @param isMet - Tells whether the condition holds.
 * @param options - Clock, deadline and pause.
 */
export async function waitUntil(isMet: () => boolean, options: WaitUntilOptions): Promise<void> {
  const { clock, deadlineMs, checkEveryMs } = options;
  while (!isMet() && clock.monotonicMs() < deadlineMs) {
    // eslint-disable-next-line no-await-in-loop -- the pause belongs between two checks
    await sleep(checkEveryMs);
  }
}
