/** End of a run on a target. */
export interface CountedEnd {
  readonly targetId: string;
  readonly pool: string;
  readonly jobId: string;
  readonly isFailed: boolean;
}

/** End of a run with its time. */
interface DatedEnd extends CountedEnd {
  /** Monotonic time of the home, in milliseconds. */
  readonly atMs: number;
}

/** Numbers of ends; a failure of a job that has failed on several targets counts only as an end. */
interface EndCounts {
  readonly endCount: number;
  readonly failedCount: number;
  readonly failedJobCount: number;
}

/** Share of failed runs from which on a target is said to fail: few tasks have a third attempt. */
const MIN_FAILED_SHARE = 1 / 3;
/** Different jobs that must have failed there; a single one may be the cause itself. */
const MIN_FAILED_JOB_COUNT = 2;
/** Share of failed runs that the pool's other targets may have, as a part of the target's own. */
const MAX_PEER_SHARE = 1 / 3;
/** Time for which an end counts, in milliseconds. */
const KEPT_MS = 6_000;
/** Most ends of a target that count. */
const MAX_END_COUNT = 24;

/**
 * Finds targets that fail a part of what they start, also where runs succeed in between.
 *
 * Jobs that can never succeed fail wherever they run: the failures of a job that has failed on
 * several targets say nothing of these.
 */
export class FailureShares {
  private readonly endsByTarget = new Map<string, readonly DatedEnd[]>();

  /** Targets on which each job has failed lately. */
  private readonly targetsByFailedJob = new Map<string, ReadonlySet<string>>();

  /**
   * Records the end of a run.
   * @param end - The target, the job, and whether the run failed.
   * @param nowMs - Monotonic time of the home.
   */
  note(end: CountedEnd, nowMs: number): void {
    const { targetId, jobId } = end;
    const recent = this.listRecent(targetId, nowMs).slice(1 - MAX_END_COUNT);
    this.endsByTarget.set(targetId, [...recent, { ...end, atMs: nowMs }]);
    if (!end.isFailed) return;
    const targets = this.targetsByFailedJob.get(jobId) ?? new Set();
    this.targetsByFailedJob.set(jobId, new Set([...targets, targetId]));
  }

  /**
   * Tells whether a target fails a part of its runs while its peers hardly fail any.
   * @param targetId - The target.
   * @param nowMs - Monotonic time of the home.
   * @returns Whether its failures are its own.
   */
  fails(targetId: string, nowMs: number): boolean {
    const ends = this.listRecent(targetId, nowMs);
    const { endCount, failedCount, failedJobCount } = this.count(ends);
    if (failedJobCount < MIN_FAILED_JOB_COUNT) return false;
    const share = failedCount / endCount;
    if (share < MIN_FAILED_SHARE) return false;
    const { pool } = ends[0]!;
    const peerEnds = [...this.endsByTarget.keys()]
      .filter((other) => other !== targetId)
      .flatMap((other) => this.listRecent(other, nowMs))
      .filter((end) => end.pool === pool);
    const peers = this.count(peerEnds);
    return peers.failedCount <= peers.endCount * share * MAX_PEER_SHARE;
  }

  /**
   * Counts the runs in a row that were done on a target, up to now.
   * @param targetId - The target.
   * @param sinceMs - Monotonic time from which on ends count.
   * @returns Number of runs since the latest failure.
   */
  countDoneSince(targetId: string, sinceMs: number): number {
    const ends = (this.endsByTarget.get(targetId) ?? []).filter(({ atMs }) => atMs > sinceMs);
    return ends.length - 1 - ends.findLastIndex(({ isFailed }) => isFailed);
  }

  /**
   * Forgets the ends on a target.
   * @param targetId - The target.
   */
  forget(targetId: string): void {
    this.endsByTarget.delete(targetId);
  }

  /** Forgets the jobs that have no recent end on any target; called from time to time. */
  prune(): void {
    const jobIds = new Set([...this.endsByTarget.values()].flat().map(({ jobId }) => jobId));
    [...this.targetsByFailedJob.keys()]
      .filter((jobId) => !jobIds.has(jobId))
      .forEach((jobId) => this.targetsByFailedJob.delete(jobId));
  }

  private listRecent(targetId: string, nowMs: number): readonly DatedEnd[] {
    const ends = this.endsByTarget.get(targetId) ?? [];
    return ends.filter(({ atMs }) => nowMs - atMs <= KEPT_MS);
  }

  private count(ends: readonly DatedEnd[]): EndCounts {
    const failed = ends.filter(
      ({ isFailed, jobId }) => isFailed && this.targetsByFailedJob.get(jobId)!.size === 1,
    );
    const failedJobCount = new Set(failed.map(({ jobId }) => jobId)).size;
    return { endCount: ends.length, failedCount: failed.length, failedJobCount };
  }
}
