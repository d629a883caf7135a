import { estimateTargetPace, type RunPace, type TargetPace } from './estimateTargetPace.js';
import { findMedian } from './findMedian.js';

/** Pace of a target beside that of its peers. */
export interface ComparedPace extends TargetPace {
  /** Median pace of the pool's targets; at most 1. */
  readonly peerShare: number;
}

interface DatedPace extends RunPace {
  readonly atMs: number;
}

interface KnownPace extends TargetPace {
  readonly pool: string;
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
  note(targetId: string, taskName: string, pace: RunPace, nowMs: number): void {
    const runs = this.runsByTarget.get(targetId) ?? new Map<string, DatedPace>();
    runs.set(taskName, { ...pace, atMs: nowMs });
    this.runsByTarget.set(targetId, runs);
  }

  /**
   * Compares a target with the other targets of its pool.
   *
   * The median of the pool stands for what tasks need where the whole pool is slow, or every
   * estimate too short. A median above 1 only shows estimates that are too long.
   * @param targetId - The target.
   * @param pool - Its pool.
   * @param nowMs - Monotonic time of the home.
   * @returns Its pace and that of its peers; undefined if too few runs or targets tell.
   */
  compare(targetId: string, pool: string, nowMs: number): ComparedPace | undefined {
    const pace = estimateTargetPace(this.listRecent(targetId, nowMs));
    if (pace === undefined) return undefined;
    this.paces.set(targetId, { ...pace, pool, atMs: nowMs });
    const peerShare = this.getMedian(pool, nowMs);
    return peerShare === undefined ? undefined : { ...pace, peerShare: Math.min(1, peerShare) };
  }

  /**
   * Forgets the paces of a target's runs.
   * @param targetId - The target.
   */
  forget(targetId: string): void {
    this.runsByTarget.delete(targetId);
    this.paces.delete(targetId);
  }

  private listRecent(targetId: string, nowMs: number): readonly RunPace[] {
    const runs = this.runsByTarget.get(targetId) ?? new Map<string, DatedPace>();
    runs.forEach(({ atMs }, taskName) => {
      if (nowMs - atMs > KEPT_MS) runs.delete(taskName);
    });
    return [...runs.values()];
  }

  private getMedian(pool: string, nowMs: number): number | undefined {
    const known = this.medians.get(pool);
    if (known !== undefined && nowMs < known.untilMs) return known.share;
    const shares = [...this.paces.values()]
      .filter((pace) => pace.pool === pool && nowMs - pace.atMs <= KEPT_MS)
      .map(({ share }) => share);
    const share = shares.length < MIN_TARGET_COUNT ? undefined : findMedian(shares);
    this.medians.set(pool, { share, untilMs: nowMs + MEDIAN_KEPT_MS });
    return share;
  }
}
