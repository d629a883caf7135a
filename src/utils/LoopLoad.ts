import { performance } from 'node:perf_hooks';
import type { Clock } from './Clock.js';

/** Options of {@link LoopLoad}. */
export interface LoopLoadOptions {
  readonly clock: Clock;
  /** Gets the share of the time since its last call that the loop was at work, from 0 to 1. */
  readonly readShare?: () => number;
}

/** Shortest time over which the share is measured, in milliseconds. */
const WINDOW_MS = 250;

function createReader(): () => number {
  let before = performance.eventLoopUtilization();
  return () => {
    const now = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(now, before);
    before = now;
    return utilization;
  };
}

/** Measures how much of the time the event loop is at work, or waits for processor time. */
export class LoopLoad {
  private readonly options: Required<LoopLoadOptions>;

  /** Shares of the latest two windows: one long turn alone is no load. */
  private latestShares: readonly [number, number] = [0, 0];

  private measuredAtMs: number;

  /**
   * Begins to measure.
   * @param options - The clock, and the source of the share.
   */
  constructor(options: LoopLoadOptions) {
    this.options = { readShare: createReader(), ...options };
    this.measuredAtMs = options.clock.monotonicMs();
  }

  /**
   * Measures the share of the time for which the loop was at work lately.
   * @returns The smaller share of the latest two windows, from 0 to 1.
   */
  measureShare(): number {
    const { clock, readShare } = this.options;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.measuredAtMs >= WINDOW_MS) {
      this.latestShares = [this.latestShares[1], readShare()];
      this.measuredAtMs = nowMs;
    }
    return Math.min(...this.latestShares);
  }
}
