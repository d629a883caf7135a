import { PeakRhythm, type PeakRhythmState, type RhythmMatch } from './PeakRhythm.js';
import type { SeenPeak } from './SeenPeak.js';

/** What is known of the peaks of one pool. */
export interface PoolPeakPatternState {
  readonly pool: string;
  readonly rhythm: PeakRhythmState;
  /** Number of VMs at the height of a peak; absent before the first peak. */
  readonly vmCount?: number;
  /** Ratio of the height to the most VMs that the pool was known to use before. */
  readonly growthFactor?: number;
  /** Time from the beginning of a peak to its end, in milliseconds. */
  readonly lengthMs?: number;
}

/** Number of intervals of one pool that show a period: two peaks by chance have one interval. */
const MIN_INTERVAL_COUNT = 2;
/** Share by which the intervals of one pool may deviate. */
const MAX_DEVIATION_SHARE = 0.125;
/** Weight of the latest peak in the expected height and length. */
const LATEST_WEIGHT = 0.5;

function average(former: number | undefined, latest: number): number {
  return former === undefined ? latest : former + (latest - former) * LATEST_WEIGHT;
}

/** Learns the period, the height and the length of the peaks of one pool. */
export class PoolPeakPattern {
  readonly rhythm: PeakRhythm;

  private readonly pool: string;

  private vmCount: number | undefined;

  private growthFactor: number | undefined;

  private lengthMs: number | undefined;

  /**
   * Creates a pattern.
   * @param pool - Name of the pool.
   * @param known - What was learned earlier.
   */
  constructor(pool: string, known?: PoolPeakPatternState) {
    this.pool = pool;
    this.vmCount = known?.vmCount;
    this.growthFactor = known?.growthFactor;
    this.lengthMs = known?.lengthMs;
    this.rhythm = new PeakRhythm({
      minIntervalCount: MIN_INTERVAL_COUNT,
      maxDeviationShare: MAX_DEVIATION_SHARE,
      ...(known === undefined ? {} : { known: known.rhythm }),
    });
  }

  /** What is known of the pool. */
  get state(): PoolPeakPatternState {
    return this.getStateDuring(undefined);
  }

  /**
   * Gets what is known during a peak, for the next home if this one does not see the end.
   * @param peak - The peak in progress, if any.
   * @returns What is known.
   */
  getStateDuring(peak: SeenPeak | undefined): PoolPeakPatternState {
    const { pool, rhythm, vmCount, lengthMs } = this;
    const growthFactor = peak === undefined ? this.growthFactor : this.getGrowthFactor(peak);
    return {
      pool,
      rhythm: rhythm.state,
      ...(vmCount === undefined ? {} : { vmCount }),
      ...(growthFactor === undefined ? {} : { growthFactor }),
      ...(lengthMs === undefined ? {} : { lengthMs }),
    };
  }

  /**
   * Records the beginning of a peak.
   * @param peak - The peak.
   * @returns How it agrees with the period of the pool.
   */
  recordBegin({ beganAtMs, isBeginSeen }: SeenPeak): RhythmMatch {
    if (isBeginSeen) return this.rhythm.record(beganAtMs, true);
    // A home that takes over during a peak has its beginning in the records, unless it was missed.
    if (this.rhythm.state.lastBeganAtMs === undefined) this.rhythm.restartAt(beganAtMs);
    return 'unexpected';
  }

  /**
   * Records the end of a peak.
   * @param peak - The peak.
   * @param endedAtMs - Monotonic time of the end, in milliseconds.
   */
  recordEnd(peak: SeenPeak, endedAtMs: number): void {
    this.vmCount = average(this.vmCount, peak.vmCount);
    this.growthFactor = this.getGrowthFactor(peak);
    if (!peak.isBeginSeen) return;
    this.lengthMs = average(this.lengthMs, endedAtMs - peak.beganAtMs);
  }

  private getGrowthFactor({ isBeginSeen, vmCount, formerVmCount }: SeenPeak): number | undefined {
    // A home that found a peak in progress does not know how many VMs the pool used before.
    if (!isBeginSeen) return this.growthFactor;
    return Math.max(this.growthFactor ?? 0, vmCount / Math.max(1, formerVmCount));
  }
}
