import { type DurableJobRow, isFinished, isLongRunning } from '../jobs/index.js';
import { groupBy } from '../utils/index.js';
import { ALL_MECHANISMS, type Mechanisms } from './mechanisms.js';
import { estimateStartByMs } from './estimateStartByMs.js';
import { type GetWeight, orderByShare } from './orderByShare.js';
import type { RunTimes } from './RunTimes.js';

/** Options of {@link orderJobs}. */
export interface OrderJobsOptions {
  readonly runTimes: RunTimes;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
  /** Weights of organisations; all are equal if absent. */
  readonly getWeight?: GetWeight;
  /** Every job with tasks on targets; none if absent. */
  readonly allocatedJobs?: readonly DurableJobRow[];
  /** Pools that refuse what they can't serve in time, and serve by objective; none if absent. */
  readonly refusingPools?: ReadonlySet<string>;
  /** Enabled mechanisms; all if absent. */
  readonly mechanisms?: Mechanisms;
}

/** A job with its sort criteria. */
interface RankedJob {
  readonly row: DurableJobRow;
  /** Class of the job; lower classes come first regardless of their objectives. */
  readonly rank: number;
  readonly isStarted: boolean;
  /** Latest time at which the remaining work must start to meet the objective. */
  readonly startByMs: number;
  /** Share of the allowed waiting time that has passed; the job is late from 1. */
  readonly waitedShare: number;
}

/** Rank of long-running services, before every priority. */
const SERVICE_RANK = -1;
/** Added to the priority of jobs that are too late for their objective; exceeds any priority. */
const LATE_RANK_OFFSET = 1_000;
/**
 * Share of its allowed waiting time after which a waiting job indicates that its pool is
 * overloaded. Estimates are off by half, so with less time left about half of such jobs miss their
 * objective even if they are placed.
 */
const OVERLOAD_WAITED_SHARE = 0.5;

function rankJob(
  row: DurableJobRow,
  { runTimes, nowMs, mechanisms = ALL_MECHANISMS }: OrderJobsOptions,
): RankedJob {
  const { submittedAtMs, terms } = row.spec;
  const startByMs = estimateStartByMs(row, runTimes);
  const isStarted = row.state !== 'queued' && mechanisms.has('started-jobs-first');
  const waitedShare = (nowMs - submittedAtMs) / Math.max(1, startByMs - submittedAtMs);
  const common = { row, isStarted, startByMs, waitedShare };
  if (isLongRunning(row)) return { ...common, rank: SERVICE_RANK };
  const isRankedLate = nowMs > startByMs && mechanisms.has('late-jobs-last');
  return { ...common, rank: terms.priority + (isRankedLate ? LATE_RANK_OFFSET : 0) };
}

function isLate({ rank }: RankedJob): boolean {
  return rank >= LATE_RANK_OFFSET;
}

/** Lists the pools in which an unstarted job has waited too long to meet its objective safely. */
function listOverloadedPools(ranked: readonly RankedJob[]): ReadonlySet<string> {
  return new Set(
    ranked
      .filter((job) => !isLate(job) && job.rank !== SERVICE_RANK && !job.isStarted)
      .filter(({ waitedShare }) => waitedShare > OVERLOAD_WAITED_SHARE)
      .map(({ row }) => row.spec.terms.pool),
  );
}

/**
 * Orders jobs for placement. Long-running services come first, since each second of their downtime
 * has a cost. The others are ordered by priority, and jobs that can no longer meet their objective
 * come last. Within a priority, started jobs come first: their work is lost to their callers if
 * they end late, and a step with many tasks is as late as its last one. Next comes the job that
 * must start soonest, or the newest job if the pool is overloaded.
 * Jobs that have not begun are served by the weights of their organisations, in that order within
 * each one.
 *
 * Newest-first order handles load peaks that exceed the capacity of a pool. Ordered by objective
 * alone, each job would be placed when it is just too late, and nearly all jobs of a peak would be
 * late. With the newest first, every placed job is on time, and as many jobs are served as fit.
 * @param jobs - The jobs.
 * @param options - Learned run times, current time and enabled mechanisms.
 * @returns The unfinished jobs in placement order.
 */
export function orderJobs(
  jobs: readonly DurableJobRow[],
  options: OrderJobsOptions,
): readonly DurableJobRow[] {
  const { mechanisms = ALL_MECHANISMS, allocatedJobs = [], getWeight = () => 1 } = options;
  const { refusingPools } = options;
  const ranked = jobs.filter((row) => !isFinished(row)).map((row) => rankJob(row, options));
  const overloaded = mechanisms.has('newest-first-in-overload')
    ? listOverloadedPools(ranked)
    : new Set<string>();
  const isNewestFirst = (job: RankedJob): boolean =>
    !job.isStarted &&
    !isLate(job) &&
    overloaded.has(job.row.spec.terms.pool) &&
    refusingPools?.has(job.row.spec.terms.pool) !== true;
  const getSortKey = (job: RankedJob): number =>
    isNewestFirst(job) ? -job.row.spec.submittedAtMs : job.startByMs;
  const sorted = ranked
    .map((job) => ({ ...job, sortKey: getSortKey(job) }))
    .toSorted(
      (a, b) =>
        a.rank - b.rank ||
        Number(b.isStarted) - Number(a.isStarted) ||
        a.sortKey - b.sortKey ||
        a.row.spec.jobId.localeCompare(b.row.spec.jobId),
    );
  if (!mechanisms.has('shares-by-weight')) return sorted.map(({ row }) => row);
  const classes = groupBy(sorted, ({ rank, isStarted }) => `${rank}/${isStarted}`);
  return [...classes.values()].flatMap((members) => {
    const rows = members.map(({ row }) => row);
    const { rank, isStarted } = members[0]!;
    if (isStarted || rank === SERVICE_RANK) return rows;
    return orderByShare({ jobs: rows, allocatedJobs, getWeight, nowMs: options.nowMs });
  });
}
