import {
  estimateTargetPace,
  getGeometricMean,
  type RunPace,
  type TargetPace,
} from './estimateTargetPace.js';
import { findLowerMedian } from './findLowerMedian.js';

/** Pace of a run beside what its task is expected to need. */
export interface ObservedPace {
  readonly stepKey: string;
  /** Pace beside the estimate: 0.2 for a run that takes five times as long. */
  readonly estimateShare: number;
  /** Pace beside other tasks of the step on other targets; undefined if too few tell. */
  readonly peerShare: number | undefined;
}

interface DatedPace extends ObservedPace {
  readonly atMs: number;
}

interface KnownPace {
  readonly pool: string;
  /** Geometric mean of the paces beside the estimates. */
  readonly estimateShare: number;
  readonly atMs: number;
}

interface PeerMedian {
  readonly share: number | undefined;
  readonly untilMs: number;
}

/** Time for which the pace of a run counts, in milliseconds. */
const KEPT_MS = 3_000;
/** Targets of a pool with a known pace from which on they are compared. */
const MIN_TARGET_COUNT = 4;
/** Time for which the median of a pool is used again, in milliseconds. */
const MEDIAN_KEPT_MS = 250;

/** Keeps the paces of recent runs, and compares the targets of a pool by them. */
export class TargetPaces {
  private readonly runsByTarget = new Map<string, Map<string, DatedPace>>();

  private readonly paces = new Map<string, KnownPace>();

  private readonly medians = new Map<string, PeerMedian>();

  /**
   * Records the pace of a run, in place of what was known of it.
   * @param targetId - Its target.
   * @param taskName - Name of the task.
   * @param pace - The pace.
   * @param nowMs - Monotonic time of the home.
   */
  note(targetId: string, taskName: string, pace: ObservedPace, nowMs: number): void {
    const runs = this.runsByTarget.get(targetId) ?? new Map<string, DatedPace>();
    runs.set(taskName, { ...pace, atMs: nowMs });
    this.runsByTarget.set(targetId, runs);
  }

  /**
   * Compares a target with the other targets of its pool.
   * @param targetId - The target.
   * @param pool - Its pool.
   * @param nowMs - Monotonic time of the home.
   * @returns Its pace beside its peers'; undefined if too few runs or targets tell.
   */
  compare(targetId: string, pool: string, nowMs: number): TargetPace | undefined {
    const runs = this.listRecent(targetId, nowMs);
    if (runs.length === 0) return undefined;
    const estimateShare = getGeometricMean(runs.map((run) => run.estimateShare));
    this.paces.set(targetId, { pool, estimateShare, atMs: nowMs });
    const poolShare = this.getPoolShare(pool, nowMs);
    const paces = runs.flatMap(({ stepKey, peerShare, ...run }): readonly RunPace[] => {
      if (peerShare !== undefined) return [{ stepKey, share: peerShare, basis: 'peers' }];
      if (poolShare === undefined) return [];
      return [{ stepKey, share: run.estimateShare / poolShare, basis: 'estimate' }];
    });
    return estimateTargetPace(paces);
  }

  /**
   * Gets the median pace of a pool's targets beside the estimates. It shows what tasks need where
   * the whole pool is slow, or every estimate too short; estimates that are too long tell nothing.
   * @param pool - The pool.
   * @param nowMs - Monotonic time of the home.
   * @returns The pace, at most 1; undefined if too few targets tell.
   */
  getPoolShare(pool: string, nowMs: number): number | undefined {
    const known = this.medians.get(pool);
    if (known !== undefined && nowMs < known.untilMs) return known.share;
    const shares = [...this.paces.values()]
      .filter((pace) => pace.pool === pool && nowMs - pace.atMs <= KEPT_MS)
      .map(({ estimateShare }) => estimateShare);
    const median = shares.length < MIN_TARGET_COUNT ? undefined : findLowerMedian(shares);
    const share = median && Math.min(1, median);
    this.medians.set(pool, { share, untilMs: nowMs + MEDIAN_KEPT_MS });
    return share;
  }

  /**
   * Forgets the paces of a target's runs.
   * @param targetId - The target.
   */
  forget(targetId: string): void {
    this.runsByTarget.delete(targetId);
    this.paces.delete(targetId);
  }

  private listRecent(targetId: string, nowMs: number): readonly ObservedPace[] {
    const runs = this.runsByTarget.get(targetId) ?? new Map<string, DatedPace>();
    runs.forEach(({ atMs }, taskName) => {
      if (nowMs - atMs > KEPT_MS) runs.delete(taskName);
    });
    return [...runs.values()];
  }
}
