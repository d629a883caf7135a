import type { TargetPace } from './estimateTargetPace.js';

/** Why a target is avoided. */
export type UnevenReason = 'slow' | 'failing';

/** Which tasks a target may get: all, one at a time to see how it runs, or none but services. */
export type TargetIntake = 'all' | 'probes' | 'services';

/** A target that is avoided. */
export interface TargetVerdict {
  readonly reason: UnevenReason;
  readonly pool: string;
  readonly sinceMs: number;
  /** When the target may get a task to see how it runs. */
  readonly probeAtMs: number;
}

/**
 * Pace, beside its peers', below which a target makes its jobs late: an objective leaves a job
 * about 1.6 times its longest chain of work.
 */
const MIN_BEARABLE_SHARE = 1 / 1.6;
/** Pause before a target that is avoided gets a task, in milliseconds: about one run. */
const PROBE_PAUSE_MS = 1_000;
/** Runs in a row that must be done on a failing target before it counts as sound. */
const MIN_DONE_COUNT = 3;
/** Part of a pool's targets that may be avoided; if more seem uneven, it is the load. */
const MAX_AVOIDED_SHARE = 1 / 3;

/** Decides which targets are avoided as they are slow or fail, and when they return. */
export class TargetVerdicts {
  private readonly verdicts = new Map<string, TargetVerdict>();

  /**
   * Gets the verdict on a target.
   * @param targetId - The target.
   * @returns The verdict; undefined if it is as good as its peers.
   */
  get(targetId: string): TargetVerdict | undefined {
    return this.verdicts.get(targetId);
  }

  /**
   * Lists the targets that are slow or fail.
   * @returns Their ids.
   */
  list(): readonly string[] {
    return [...this.verdicts.keys()];
  }

  /**
   * Judges a target by its pace.
   * @param targetId - The target.
   * @param pool - Its pool.
   * @param pace - Its pace since it was judged last, beside its peers'.
   * @param nowMs - Monotonic time of the home.
   * @returns What has changed.
   */
  judgePace(
    targetId: string,
    pool: string,
    pace: TargetPace,
    nowMs: number,
  ): 'found' | 'returned' | 'same' {
    const { share, upperShare } = pace;
    const isSlow = upperShare < MIN_BEARABLE_SHARE;
    const known = this.verdicts.get(targetId);
    if (known === undefined) return isSlow ? this.add(targetId, 'slow', pool, nowMs) : 'same';
    if (known.reason !== 'slow') return 'same';
    if (share >= MIN_BEARABLE_SHARE) return this.remove(targetId);
    this.verdicts.set(targetId, { ...known, probeAtMs: nowMs + PROBE_PAUSE_MS });
    return 'same';
  }

  /**
   * Judges a target by its failures.
   * @param targetId - The target.
   * @param pool - Its pool.
   * @param fails - Whether it fails a part of its runs while its peers hardly fail any.
   * @param doneCount - Runs in a row that were done there since it was judged.
   * @param nowMs - Monotonic time of the home.
   * @returns What has changed.
   */
  judgeFailures(
    targetId: string,
    pool: string,
    fails: boolean,
    doneCount: number,
    nowMs: number,
  ): 'found' | 'returned' | 'same' {
    const known = this.verdicts.get(targetId);
    if (known === undefined) return fails ? this.add(targetId, 'failing', pool, nowMs) : 'same';
    if (known.reason !== 'failing') return 'same';
    if (!fails || doneCount >= MIN_DONE_COUNT) return this.remove(targetId);
    if (doneCount === 0) {
      this.verdicts.set(targetId, { ...known, probeAtMs: nowMs + PROBE_PAUSE_MS });
    }
    return 'same';
  }

  /**
   * Tells which tasks a target may get.
   * @param targetId - The target.
   * @param targetCount - Number of targets in its pool.
   * @param nowMs - Monotonic time of the home.
   * @returns The tasks.
   */
  getIntake(targetId: string, targetCount: number, nowMs: number): TargetIntake {
    const verdict = this.verdicts.get(targetId);
    if (verdict === undefined || !this.mayAvoid(verdict.pool, targetCount)) return 'all';
    return nowMs < verdict.probeAtMs ? 'services' : 'probes';
  }

  /**
   * Forgets a target whose lifetime is over.
   * @param targetId - The target.
   */
  forget(targetId: string): void {
    this.verdicts.delete(targetId);
  }

  private mayAvoid(pool: string, targetCount: number): boolean {
    const count = [...this.verdicts.values()].filter((verdict) => verdict.pool === pool).length;
    return count <= targetCount * MAX_AVOIDED_SHARE;
  }

  private add(targetId: string, reason: UnevenReason, pool: string, nowMs: number): 'found' {
    const probeAtMs = nowMs + PROBE_PAUSE_MS;
    this.verdicts.set(targetId, { reason, pool, sinceMs: nowMs, probeAtMs });
    return 'found';
  }

  private remove(targetId: string): 'returned' {
    this.verdicts.delete(targetId);
    return 'returned';
  }
}
