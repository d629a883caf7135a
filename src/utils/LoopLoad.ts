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

  private latestShare = 0;

  private measuredAtMs: number;

  /**
   * Begins to measure.
   * @param options - The clock, and the source of the share.
   */
  constructor(options: LoopLoadOptions) {
    this.options = { readShare: createReader(), ...options };
    this.measuredAtMs = options.clock.monotonicMs();
  }

  /** Share of the time for which the loop was at work lately, from 0 to 1. */
  get share(): number {
    const { clock, readShare } = this.options;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.measuredAtMs >= WINDOW_MS) {
      this.latestShare = readShare();
      this.measuredAtMs = nowMs;
    }
    return this.latestShare;
  }
}
