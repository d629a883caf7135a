import type { DurableJobRow, RunEnd, TaskCrash } from '../jobs/index.js';
import { type EventLog, OutageLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { PoolDemand } from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { RunKey } from './RunKey.js';

/** Options of {@link JobTelemetry}. */
export interface JobTelemetryOptions {
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly term: number;
}

/** What a placement was decided on. */
export interface PlacementBasis {
  /** Processor of the target that was free before, in thousandths of a core. */
  readonly freeCpuMillicores: number;
  /** Age of the target's latest answer, in milliseconds; undefined where it never answered. */
  readonly reportAgeMs: number | undefined;
}

/** How a run was lost with its target. */
export interface RunLoss {
  /** How the end of the target is known. */
  readonly reason: string;
  /** Whether its start was sent. */
  readonly isSent: boolean;
  /** For how long the run is known to have worked, in milliseconds. */
  readonly survivedMs: number;
  /** Runs that were lost with the target, this one among them. */
  readonly runCount: number;
}

/** Log lines and measurements of the jobs of one home. */
export class JobTelemetry {
  private readonly options: JobTelemetryOptions;

  private readonly shortages = new Map<string, OutageLog>();

  /**
   * Creates the telemetry of a home.
   * @param options - Where lines and measurements go.
   */
  constructor(options: JobTelemetryOptions) {
    this.options = options;
  }

  /**
   * Tells of a task that was given to a target.
   * @param row - Its job as it was before.
   * @param key - The run.
   * @param basis - What that was decided on.
   */
  notePlaced({ spec, state }: DurableJobRow, key: RunKey, basis: PlacementBasis): void {
    const { events, metrics, clock, term } = this.options;
    const jobAgeMs = clock.wallMs() - spec.submittedAtMs;
    const { jobId, terms } = spec;
    if (state === 'queued') metrics.timing('first_start_ms', jobAgeMs, { pool: terms.pool });
    events.write('taskPlaced', { jobId, ...key, term, jobAgeMs, ...basis });
  }

  /**
   * Tells of a run that is over.
   * @param jobId - Id of the job.
   * @param key - The run.
   * @param end - How it ended.
   * @param source - How that became known.
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
   * Tells of a run that was lost with its target; its end is told of as any other.
   * @param row - Its job.
   * @param key - The run.
   * @param loss - How long the run is known to have worked there, and how its target was lost.
   */
  noteLost({ spec }: DurableJobRow, { taskName, run, targetId }: RunKey, loss: RunLoss): void {
    const { events, metrics, term } = this.options;
    const { jobId, terms } = spec;
    metrics.increment('lost_runs', { pool: terms.pool, reason: loss.reason });
    events.write('runLost', { jobId, taskName, run, targetId, term, ...loss });
  }

  /**
   * Tells of a task that is not started again, as it crashes the targets that start it.
   * @param row - Its job.
   * @param key - Its last run.
   * @param crash - How many targets it has crashed.
   */
  noteGivenUp(
    { spec }: DurableJobRow,
    { taskName, run, targetId }: RunKey,
    { crashCount }: TaskCrash,
  ): void {
    const { events, metrics, term } = this.options;
    const { jobId, terms } = spec;
    metrics.increment('tasks_given_up', { pool: terms.pool });
    events.write('taskGivenUp', { jobId, taskName, run, targetId, term, crashCount });
  }

  /**
   * Tells of a job that has its final state.
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
   * Tells of the load of a pool, and once when its tasks begin or cease to wait for room.
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

  private getShortage(pool: string): OutageLog {
    const known = this.shortages.get(pool);
    if (known !== undefined) return known;
    const { events } = this.options;
    const created = new OutageLog({ events, lost: 'tasksWait', regained: 'tasksFit' });
    this.shortages.set(pool, created);
    return created;
  }
}
