import type { Clock } from '../utils/index.js';
import { getStallLimitMs } from './getStallLimitMs.js';
import type { TargetReport } from './TargetSession.js';

/** Progress at which a long-running task counts as at work. */
const AT_WORK_PERCENT = 100;

/** Time since a report was read from which it is outdated, in milliseconds: two intervals. */
const MAX_READ_AGE_MS = 2_000;
/**
 * Time since a report was asked for from which it is outdated, in milliseconds: the target may hold
 * its answer back for 1 s. The platform's users consider a task unavailable after 4.5 s or more.
 */
const MAX_ASKED_AGE_MS = 3_000;

interface Progress {
  readonly run: number;
  readonly percent: number;
  /** Since when the progress is the same, by the clock of the target. */
  readonly sinceTargetMs: number;
  /** Longest time that one percent of the run has taken, by the clock of the target. */
  readonly longestPercentMs: number;
  /** When the target made the report, by its own clock. */
  readonly reportedTargetMs: number;
  /** When the report was read, by the monotonic clock. */
  readonly readAtMs: number;
  /** When the report was asked for, by the monotonic clock; it tells of no earlier moment. */
  readonly askedAtMs: number;
}

/** Measures the pace of a run by its next report. */
function measurePace(
  known: Progress | undefined,
  percent: number,
  reportedTargetMs: number,
): Pick<Progress, 'sinceTargetMs' | 'longestPercentMs'> {
  if (known === undefined) return { sinceTargetMs: reportedTargetMs, longestPercentMs: 0 };
  const { sinceTargetMs, longestPercentMs } = known;
  if (known.percent === percent) return { sinceTargetMs, longestPercentMs };
  const percentCount = Math.max(1, percent - known.percent);
  const percentMs = (reportedTargetMs - sinceTargetMs) / percentCount;
  return {
    sinceTargetMs: reportedTargetMs,
    longestPercentMs: Math.max(longestPercentMs, percentMs),
  };
}

/** Tracks the progress of running tasks by the latest reports of their targets. */
export class TaskProgress {
  private readonly byTask = new Map<string, Progress>();

  /** How often runs of a task were stopped as stalled; only of tasks of which some were. */
  private readonly stallCounts = new Map<string, number>();

  private readonly clock: Clock;

  /**
   * Starts without reports.
   * @param clock - Clock that gives the age of reports.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Records the report of a target.
   * @param report - The report.
   */
  note({ answer, askedAtMs }: Pick<TargetReport, 'answer' | 'askedAtMs'>): void {
    const readAtMs = this.clock.monotonicMs();
    const { running, targetClockMs: reportedTargetMs } = answer;
    const reading = { reportedTargetMs, readAtMs, askedAtMs };
    running.forEach(({ taskName, run, progressPercent: percent }) => {
      const known = this.byTask.get(taskName);
      const ofRun = known?.run === run ? known : undefined;
      const pace = measurePace(ofRun, percent, reportedTargetMs);
      this.byTask.set(taskName, { run, percent, ...pace, ...reading });
    });
  }

  /**
   * Tells whether a run makes no progress although its target reports.
   *
   * If tasks on a target stall, its lease is still renewed and nothing fails, so the job would wait
   * forever. The time is measured by the target's clock: two reports that were made shortly after
   * each other may be read far apart, if this process was paused in between.
   * @param taskName - Name of the task.
   * @param run - Number of the run.
   * @param estimatedRunMs - The caller's estimate of the task's run time, in milliseconds.
   * @returns Whether it is stalled.
   */
  isStalled(taskName: string, run: number, estimatedRunMs: number): boolean {
    const progress = this.byTask.get(taskName);
    if (progress?.run !== run || progress.percent >= AT_WORK_PERCENT) return false;
    const { reportedTargetMs, sinceTargetMs, longestPercentMs } = progress;
    const stallCount = this.stallCounts.get(taskName) ?? 0;
    const limitMs = getStallLimitMs({ estimatedRunMs, longestPercentMs, stallCount });
    return reportedTargetMs - sinceTargetMs >= limitMs;
  }

  /**
   * Records that a run is stopped as stalled; the next ones may take longer without progress.
   * @param taskName - Name of the task.
   */
  noteStall(taskName: string): void {
    this.stallCounts.set(taskName, (this.stallCounts.get(taskName) ?? 0) + 1);
  }

  /**
   * Forgets the stalls of a task that is done.
   * @param taskName - Name of the task.
   */
  forgetStalls(taskName: string): void {
    this.stallCounts.delete(taskName);
  }

  /**
   * Tells how old the latest report of a task may be.
   * @param taskName - Name of the task.
   * @returns Time since it was asked for, in milliseconds; undefined if there is none.
   */
  getReportAgeMs(taskName: string): number | undefined {
    const progress = this.byTask.get(taskName);
    return progress && Math.round(this.clock.monotonicMs() - progress.askedAtMs);
  }

  /**
   * Gets the progress of a run by its latest report.
   * @param taskName - Name of the task.
   * @param run - Number of the run.
   * @returns The progress in percent; undefined if no report has shown the run.
   */
  getPercent(taskName: string, run: number): number | undefined {
    const progress = this.byTask.get(taskName);
    return progress?.run === run ? progress.percent : undefined;
  }

  /**
   * Forgets a run that is over or about to be stopped.
   * @param taskName - Name of the task.
   */
  forget(taskName: string): void {
    this.byTask.delete(taskName);
  }

  /**
   * Tells whether a run of a long-running task is at work.
   *
   * Only a fresh report counts: the last report of a crashed target still says that its task is at
   * work, so the system would stop another task of the step, and one task too many would be
   * unavailable. If this process was paused, a report that it reads now may be as old; it tells of
   * no moment before it was asked for.
   * @param taskName - Name of the task.
   * @param run - Number of the run.
   * @returns Whether a fresh report says so.
   */
  isAtWork(taskName: string, run: number): boolean {
    const progress = this.byTask.get(taskName);
    if (progress?.run !== run || progress.percent < AT_WORK_PERCENT) return false;
    const nowMs = this.clock.monotonicMs();
    const { readAtMs, askedAtMs } = progress;
    return nowMs - readAtMs < MAX_READ_AGE_MS && nowMs - askedAtMs < MAX_ASKED_AGE_MS;
  }
}
