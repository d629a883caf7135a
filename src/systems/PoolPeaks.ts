import type { Clock } from '../utils/index.js';
import { MIN_KEPT_COUNT } from './planMoves.js';
import type { PoolDemand } from './PoolDemand.js';

/**
 * Share of a pool's peak that it keeps while it idles. A rush takes about 2.5 s to bring VMs and 8
 * s in all, so what is kept serves the front; kept VMs cost all the time, so a quarter is about
 * where the next VM costs as much as it serves.
 */
const KEPT_SHARE = 0.25;
/** Time in which half of a peak is forgotten, in milliseconds: some rounds of rushes. */
const HALF_LIFE_MS = 300_000;

/** Time in which what a pool has counts as its peak, in ms: targets are met within 2 s. */
const ALLOTMENT_WINDOW_MS = 3_000;

/** The most VMs that a pool has used at once, faded until it was seen last. */
export interface PoolPeak {
  readonly pool: string;
  readonly vmCount: number;
}

interface SeenPeak extends PoolPeak {
  /** Monotonic time at which the pool was seen last. */
  readonly seenAtMs: number;
}

/**
 * The most VMs that each pool has been seen to use at once, which fades slowly.
 *
 * Guards against a takeover in the midst of a rush: what a pool has at that moment says nothing of
 * what operators gave it, and a pool that others had just been served from would keep three VMs
 * for its own rush. So an earlier home's peaks are taken over, as seen at that moment: it stored
 * each as it changed, and by a time of day that jumps by 40 minutes all would have faded.
 */
export class PoolPeaks {
  private readonly clock: Clock;

  private readonly peaks: Map<string, SeenPeak>;

  /** When each pool without a known peak was seen first, by the monotonic clock. */
  private readonly firstSeenAtMs = new Map<string, number>();

  /**
   * Starts with what is known.
   * @param clock - Tells how old a peak is.
   * @param known - Peaks as an earlier home has seen them.
   */
  constructor(clock: Clock, known: readonly PoolPeak[] = []) {
    this.clock = clock;
    const seenAtMs = clock.monotonicMs();
    this.peaks = new Map(known.map((peak) => [peak.pool, { ...peak, seenAtMs }]));
    known.forEach(({ pool }) => this.firstSeenAtMs.set(pool, Number.NEGATIVE_INFINITY));
  }

  /**
   * Takes note of what a pool uses. What it has in its first seconds counts as its peak, since
   * operators have given it that.
   * @param demand - Load and demand of the pool.
   */
  note({ pool, targets }: PoolDemand): void {
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
   * @returns One for each pool that has been seen.
   */
  list(): readonly PoolPeak[] {
    return [...this.peaks.values()].map(({ pool, vmCount }) => ({ pool, vmCount }));
  }

  /**
   * Counts the VMs that each pool keeps without a need.
   * @returns The counts by pool.
   */
  getKeptCounts(): ReadonlyMap<string, number> {
    return new Map(
      [...this.peaks.keys()].map((pool) => [
        pool,
        Math.max(MIN_KEPT_COUNT, Math.ceil(this.getPeak(pool)! * KEPT_SHARE)),
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
