import type { Clock } from '../utils/index.js';
import { MIN_RESERVE_COUNT } from './PoolBalance.js';
import type { PoolDemand } from './PoolDemand.js';

/**
 * Share of a pool's peak that it keeps as a reserve while idle, for the jobs that arrive before the
 * first VMs that are ordered for a peak are up. Load peaks rise for 2 to 3 s, so that until then
 * about a third of a peak's rate arrives on average, and some of these jobs may wait.
 */
const RESERVE_SHARE = 0.25;
/** Half-life of a peak, in milliseconds: several rounds of load peaks. */
const HALF_LIFE_MS = 300_000;

/** Time in which a new pool's targets count as its peak, in ms: all are discovered within 2 s. */
const ALLOTMENT_WINDOW_MS = 3_000;

/**
 * Most VMs that a pool has used at once, decayed until the pool was last observed. It is one number
 * for each pool, whereas a load peak ({@link PeakDetector}) has a beginning and an end.
 */
export interface PoolPeak {
  readonly pool: string;
  readonly vmCount: number;
}

interface TimedPoolPeak extends PoolPeak {
  /** Monotonic time at which the pool was last observed, in milliseconds. */
  readonly seenAtMs: number;
}

/**
 * Tracks the most VMs that each pool has used at once, with slow exponential decay.
 *
 * A new home continues with the stored peaks of the previous one. During a load peak, the current
 * VMs of a pool don't show how many operators assigned to it. Without the stored peaks, a pool that
 * has just given its VMs to others would keep only the least reserve. The stored peaks count as
 * observed at the takeover: the previous home stored each one when it changed, and with ages by the
 * wall clock, a jump of 40 minutes would decay all of them.
 */
export class PoolPeaks {
  private readonly clock: Clock;

  private readonly peaks: Map<string, TimedPoolPeak>;

  /** Monotonic time at which each pool was first observed; -Infinity if its peak was known. */
  private readonly firstSeenAtMs = new Map<string, number>();

  /**
   * Creates the peaks.
   * @param clock - Clock that determines the age of a peak.
   * @param known - Peaks observed by an earlier home.
   */
  constructor(clock: Clock, known: readonly PoolPeak[] = []) {
    this.clock = clock;
    const seenAtMs = clock.monotonicMs();
    this.peaks = new Map(known.map((peak) => [peak.pool, { ...peak, seenAtMs }]));
    known.forEach(({ pool }) => this.firstSeenAtMs.set(pool, Number.NEGATIVE_INFINITY));
  }

  /**
   * Records the usage of a pool. The number of its targets in the first seconds counts as a peak,
   * since operators assigned them.
   * @param demand - Load and demand of the pool.
   */
  record({ pool, targets }: PoolDemand): void {
    const usedVms = targets
      .map(({ usedCpuMillicores, cpuMillicores }) => usedCpuMillicores / Math.max(1, cpuMillicores))
      .reduce((sum, share) => sum + share, 0);
    const seenAtMs = this.clock.monotonicMs();
    const firstSeenAtMs = this.firstSeenAtMs.get(pool) ?? seenAtMs;
    this.firstSeenAtMs.set(pool, firstSeenAtMs);
    const allottedCount = seenAtMs - firstSeenAtMs < ALLOTMENT_WINDOW_MS ? targets.length : 0;
    const vmCount = Math.max(this.getPeak(pool) ?? 0, allottedCount, usedVms);
    this.peaks.set(pool, { pool, vmCount, seenAtMs });
  }

  /**
   * Lists the peaks.
   * @returns One peak for each known pool.
   */
  list(): readonly PoolPeak[] {
    return [...this.peaks.values()].map(({ pool, vmCount }) => ({ pool, vmCount }));
  }

  /**
   * Computes the number of reserve VMs that each pool keeps without load.
   * @returns The numbers by pool.
   */
  getReserveCounts(): ReadonlyMap<string, number> {
    return new Map(
      [...this.peaks.keys()].map((pool) => [
        pool,
        Math.max(MIN_RESERVE_COUNT, Math.ceil(this.getPeak(pool)! * RESERVE_SHARE)),
      ]),
    );
  }

  private getPeak(pool: string): number | undefined {
    const peak = this.peaks.get(pool);
    if (peak === undefined) return undefined;
    const ageMs = this.clock.monotonicMs() - peak.seenAtMs;
    return peak.vmCount * 0.5 ** (ageMs / HALF_LIFE_MS);
  }
}
