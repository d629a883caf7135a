/** Shortest time without progress from which a task counts as stalled, in milliseconds. */
const MIN_LIMIT_MS = 2_000;
/** Percents of the estimated run time that may pass as one: targets may be several times slow. */
const ESTIMATED_PERCENTS = 5;
const WHOLE_PERCENT = 100;
/** How many times longer one percent may take than any of the run before. */
const LONGER_STEP_FACTOR = 3;
/** The limit doubles with each stall of a task up to so many. */
const MAX_DOUBLING_COUNT = 10;

/** What is known of a task's pace. */
export interface StallBasis {
  /** The caller's estimate of its run time, in milliseconds. */
  readonly estimatedRunMs: number;
  /** Longest time that one percent of the run has taken, in milliseconds; 0 if none has passed. */
  readonly longestPercentMs: number;
  /** How often runs of the task were stopped as stalled. */
  readonly stallCount: number;
}

/**
 * Computes from which time without progress a task counts as stalled. A task of 4 s on a target
 * that is seven times too slow still makes progress every third of a second.
 *
 * Guards against a long task that never ends: targets report whole percents, so one of an hour
 * shows no progress for 36 s, is stopped, and begins anew without end. As estimates may be far off,
 * each stall of a task doubles the time.
 * @param basis - What is known of the task's pace.
 * @returns The time by the clock of the target, in milliseconds.
 */
export function getStallLimitMs(basis: StallBasis): number {
  const { estimatedRunMs, longestPercentMs, stallCount } = basis;
  const expectedMs = (ESTIMATED_PERCENTS * estimatedRunMs) / WHOLE_PERCENT;
  const seenMs = LONGER_STEP_FACTOR * longestPercentMs;
  const doublingCount = Math.min(stallCount, MAX_DOUBLING_COUNT);
  return Math.max(MIN_LIMIT_MS, expectedMs, seenMs) * 2 ** doublingCount;
}
