import { type DurableJobRow, isFinished, isLongRunning } from '../jobs/index.js';
import { ALL_MECHANISMS, type Mechanisms } from './mechanisms.js';
import { estimateStartByMs } from './estimateStartByMs.js';
import type { RunTimes } from './RunTimes.js';

/** Options of {@link orderJobs}. */
export interface OrderJobsOptions {
  readonly runTimes: RunTimes;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
  /** What is on; everything where it is absent. */
  readonly mechanisms?: Mechanisms;
}

/** A job with what decides about its place. */
interface Ranked {
  readonly row: DurableJobRow;
  /** Class of the job; lower ones come first whatever their objectives. */
  readonly rank: number;
  readonly isStarted: boolean;
  /** Latest time at which the rest of the job has to start to meet the objective. */
  readonly startByMs: number;
  /** Share of the time to wait that has passed; from 1 on the job is late. */
  readonly waitedShare: number;
}

/** Place of long-running services, before every priority. */
const SERVICE_RANK = -1;
/** Added to the priority of jobs that are too late for their objective; above any priority. */
const LATE_RANK = 1_000;
/**
 * Share of its time to wait after which a waiting job shows that its pool cannot keep up. Estimates
 * are off by half, so with less left about half of such jobs come late though they get room.
 */
const OVERLOAD_SHARE = 0.5;

function rankJob(
  row: DurableJobRow,
  { runTimes, nowMs, mechanisms = ALL_MECHANISMS }: OrderJobsOptions,
): Ranked {
  const { submittedAtMs, terms } = row.spec;
  const startByMs = estimateStartByMs(row, runTimes);
  const isStarted = row.state !== 'queued' && mechanisms.has('started-jobs-first');
  const waitedShare = (nowMs - submittedAtMs) / Math.max(1, startByMs - submittedAtMs);
  const common = { row, isStarted, startByMs, waitedShare };
  if (isLongRunning(row)) return { ...common, rank: SERVICE_RANK };
  const isLast = nowMs > startByMs && mechanisms.has('late-jobs-last');
  return { ...common, rank: terms.priority + (isLast ? LATE_RANK : 0) };
}

function isLate({ rank }: Ranked): boolean {
  return rank >= LATE_RANK;
}

/** Finds the pools in which a job that has not begun has waited too long to be sure of its time. */
function listOverloaded(ranked: readonly Ranked[]): ReadonlySet<string> {
  return new Set(
    ranked
      .filter((job) => !isLate(job) && job.rank !== SERVICE_RANK && !job.isStarted)
      .filter(({ waitedShare }) => waitedShare > OVERLOAD_SHARE)
      .map(({ row }) => row.spec.terms.pool),
  );
}

/**
 * Orders jobs for placement: long-running services first, since each second without them costs,
 * then by priority; jobs that cannot meet their objective any more come last. Among the others
 * those that have begun come first, since their work is lost to their callers if they end late, and
 * a wide step is as late as its last task. Then comes the job that has to start soonest; where the
 * pool cannot keep up, the newest.
 *
 * Answers rushes that ask for more than a pool holds. By the objective alone each job would get its
 * room when it is just too late, and in a rush nearly all would be late. With the newest first,
 * those that get room are in time for certain, and as many are served as there is room for.
 * @param jobs - The jobs.
 * @param options - What has been learned of run times, and the time.
 * @returns The unfinished ones in their order.
 */
export function orderJobs(
  jobs: readonly DurableJobRow[],
  options: OrderJobsOptions,
): readonly DurableJobRow[] {
  const { mechanisms = ALL_MECHANISMS } = options;
  const ranked = jobs.filter((row) => !isFinished(row)).map((row) => rankJob(row, options));
  const overloaded = mechanisms.has('newest-first-in-overload')
    ? listOverloaded(ranked)
    : new Set<string>();
  const isNewestFirst = (job: Ranked): boolean =>
    !job.isStarted && !isLate(job) && overloaded.has(job.row.spec.terms.pool);
  const getPlace = (job: Ranked): number =>
    isNewestFirst(job) ? -job.row.spec.submittedAtMs : job.startByMs;
  return ranked
    .map((job) => ({ ...job, place: getPlace(job) }))
    .toSorted(
      (a, b) =>
        a.rank - b.rank ||
        Number(b.isStarted) - Number(a.isStarted) ||
        a.place - b.place ||
        a.row.spec.jobId.localeCompare(b.row.spec.jobId),
    )
    .map(({ row }) => row);
}
