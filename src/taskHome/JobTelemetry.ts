import { type CrashOutcome, type DurableJobRow, nameTask, type RunEnd } from '../jobs/index.js';
import { type EventLog, OutageLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import { getShareKey, type PoolDemand, type RefusedAdmission } from '../systems/index.js';
import type { TaskEnd } from '../targets/index.js';
import { type Clock, groupBy } from '../utils/index.js';
import { explainIgnoredEnd, isOrdinaryReason } from './explainIgnoredEnd.js';
import type { JobTable } from './JobTable.js';
import type { RunKey } from './RunKey.js';

/** Shortest time between two log lines of an organisation in a pool, in milliseconds. */
const WITHHELD_INTERVAL_MS = 1_000;

const MILLICORES_PER_CORE = 1_000;

/** Options of {@link JobTelemetry}. */
export interface JobTelemetryOptions {
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly term: number;
}

/** Data on which a placement decision was based. */
export interface PlacementBasis {
  /** CPU that was free on the target before the placement, in thousandths of a core. */
  readonly freeCpuMillicores: number;
  /** Age of the target's latest answer, in milliseconds; undefined if it never answered. */
  readonly reportAgeMs: number | undefined;
}

/** Details of a run that was lost with its target. */
export interface RunLoss {
  /** How the loss of the target was detected. */
  readonly reason: string;
  /** Whether the start of the run was sent. */
  readonly isSent: boolean;
  /** How long the run is known to have been running, in milliseconds. */
  readonly survivedMs: number;
  /** Number of runs that were lost with the target, including this one. */
  readonly runCount: number;
}

/** What a run is stopped for although it could go on. */
export interface PreemptionCause {
  /** The job that gets the room. */
  readonly forJobId: string;
  /** Work that is lost, in thousandths of a core times milliseconds. */
  readonly lostWork: number;
}

/** Writes log events and metrics about the jobs of one home. */
export class JobTelemetry {
  private readonly options: JobTelemetryOptions;

  private readonly shortages = new Map<string, OutageLog>();

  /** When the withheld starts of an organisation in a pool were logged last. */
  private readonly withheldAtMs = new Map<string, number>();

  /**
   * Creates the telemetry of a home.
   * @param options - Event log and metrics to write to.
   */
  constructor(options: JobTelemetryOptions) {
    this.options = options;
  }

  /**
   * Records that a task was placed on a target.
   * @param row - Its job as it was before the placement.
   * @param key - The run.
   * @param basis - Data on which the decision was based.
   */
  notePlaced({ spec }: DurableJobRow, key: RunKey, basis: PlacementBasis): void {
    const { events, clock, term } = this.options;
    const jobAgeMs = clock.wallMs() - spec.submittedAtMs;
    events.write('taskPlaced', { jobId: spec.jobId, ...key, term, jobAgeMs, ...basis });
  }

  /**
   * Records that the first run of a job has begun.
   * @param row - The job.
   */
  noteBegun({ spec }: DurableJobRow): void {
    const { metrics, clock } = this.options;
    const jobAgeMs = clock.wallMs() - spec.submittedAtMs;
    metrics.timing('first_start_ms', jobAgeMs, { pool: spec.terms.pool });
  }

  /**
   * Records that a run has ended.
   * @param jobId - Id of the job.
   * @param key - The run.
   * @param end - How it ended.
   * @param source - How the home learned of the end.
   */
  noteEnded(
    jobId: string,
    { taskName, run, targetId }: RunKey,
    { end }: RunEnd,
    source: string,
  ): void {
    this.options.events.write('taskEnded', { jobId, taskName, run, targetId, end, source });
  }

  /**
   * Records that the home ignores the end of a run that a target has reported, if the task could
   * run again.
   * @param table - The jobs of the home.
   * @param key - The run.
   * @param end - How it ended.
   */
  noteIgnoredEnd(table: Pick<JobTable, 'findTask' | 'get'>, key: RunKey, end: TaskEnd): void {
    const { taskName, run, targetId } = key;
    const ignored = explainIgnoredEnd(table, key);
    if (ignored === undefined || isOrdinaryReason(ignored.reason)) return;
    const { events, term } = this.options;
    events.write('endIgnored', { taskName, run, targetId, term, end, ...ignored });
  }

  /**
   * Records that a run is stopped for others.
   * @param row - Its job.
   * @param position - Index of the task among the job's tasks.
   * @param cause - What its room is needed for.
   */
  notePreempted(row: DurableJobRow, position: number, cause: PreemptionCause): void {
    const { events, metrics, term } = this.options;
    const { jobId, terms } = row.spec;
    const task = row.tasks[position]!;
    const { run, targetId } = task;
    metrics.increment('preempted_runs', { pool: terms.pool });
    events.write('taskPreempted', {
      ...{ jobId, taskName: nameTask(row, task), run, targetId, term },
      ...cause,
    });
  }

  /**
   * Records that a run was lost with its target. Its end is recorded separately, like any other.
   * @param row - Its job.
   * @param key - The run.
   * @param loss - How long the run is known to have been running, and how its target was lost.
   */
  noteLost({ spec }: DurableJobRow, { taskName, run, targetId }: RunKey, loss: RunLoss): void {
    const { events, metrics, term } = this.options;
    const { jobId, terms } = spec;
    metrics.increment('lost_runs', { pool: terms.pool, reason: loss.reason });
    events.write('runLost', { jobId, taskName, run, targetId, term, ...loss });
  }

  /**
   * Records that a task is not started again because it crashes the targets that start it.
   * @param row - Its job.
   * @param key - Its last run.
   * @param crash - Number of targets that it has crashed.
   */
  noteGivenUp(
    { spec }: DurableJobRow,
    { taskName, run, targetId }: RunKey,
    { crashCount }: CrashOutcome,
  ): void {
    const { events, metrics, term } = this.options;
    const { jobId, terms } = spec;
    metrics.increment('tasks_given_up', { pool: terms.pool });
    events.write('taskGivenUp', { jobId, taskName, run, targetId, term, crashCount });
  }

  /**
   * Records that a job has reached its final state.
   * @param row - The job.
   */
  noteFinished({ spec, state }: DurableJobRow): void {
    const { events, metrics, clock } = this.options;
    const { jobId, terms } = spec;
    const tookMs = clock.wallMs() - spec.submittedAtMs;
    metrics.timing('job_ms', tookMs, { pool: terms.pool, state });
    events.write('jobFinished', { jobId, queue: terms.queue, state, tookMs });
  }

  /**
   * Records the load of a pool, and logs once when its tasks begin or cease to wait for capacity.
   * @param demand - Load and demand of the pool.
   */
  noteDemand({ pool, targets, waitingCpuMillicores, jobCount }: PoolDemand): void {
    const { metrics, term } = this.options;
    const taskCount = targets.reduce((sum, { runCount }) => sum + runCount, 0);
    metrics.gauge('open_jobs', jobCount, { pool });
    metrics.gauge('waiting_millicores', waitingCpuMillicores, { pool });
    metrics.gauge('placed_tasks', taskCount, { pool });
    const targetCount = targets.length;
    const fields = { pool, waitingCpuMillicores, targetCount, taskCount, jobCount, term };
    if (waitingCpuMillicores > 0) this.getShortage(pool).noteFailure(fields);
    else this.getShortage(pool).noteSuccess(fields);
  }

  /**
   * Records the jobs of which tasks were withheld in a round for the limits of their organisations.
   * @param rows - The jobs.
   */
  noteWithheld(rows: readonly DurableJobRow[]): void {
    const { events, metrics, clock, term } = this.options;
    const nowMs = clock.monotonicMs();
    const byLimit = groupBy(rows, getShareKey);
    byLimit.forEach((jobs, key) => {
      if (nowMs - (this.withheldAtMs.get(key) ?? -Infinity) < WITHHELD_INTERVAL_MS) return;
      this.withheldAtMs.set(key, nowMs);
      const { jobId, organisation, terms } = jobs[0]!.spec;
      metrics.increment('starts_withheld', { pool: terms.pool });
      const fields = { organisation, pool: terms.pool, jobId, jobCount: jobs.length, term };
      events.write('startsWithheld', fields);
    });
  }

  /**
   * Records that an arriving job was refused, since it would end too late to be of use.
   * @param row - The job, which is not stored.
   * @param refusal - The estimate.
   */
  noteRefused({ spec }: DurableJobRow, refusal: RefusedAdmission): void {
    const { events, metrics, clock, term } = this.options;
    const { jobId, organisation, terms } = spec;
    const { queue, pool } = terms;
    const nowMs = clock.wallMs();
    const getLeftMs = (atMs: number): number => Math.round(atMs - nowMs);
    metrics.increment('jobs_refused', { pool });
    events.write('jobRefusedByLoad', {
      ...{ jobId, queue, pool, organisation, term },
      expectedEndInMs: getLeftMs(refusal.expectedEndAtMs),
      usefulForMs: getLeftMs(refusal.usefulUntilMs),
      backlogCoreMs: Math.round(refusal.backlogWork / MILLICORES_PER_CORE),
      retryAfterMs: getLeftMs(refusal.retryAtMs),
    });
  }

  private getShortage(pool: string): OutageLog {
    const known = this.shortages.get(pool);
    if (known !== undefined) return known;
    const { events } = this.options;
    const created = new OutageLog({ events, lost: 'tasksWait', regained: 'tasksFit' });
    this.shortages.set(pool, created);
    return created;
  }
}
