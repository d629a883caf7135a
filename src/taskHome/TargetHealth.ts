import type { EventLog } from '../logging/index.js';
import type { Clock } from '../utils/index.js';

/** Options of {@link TargetHealth}. */
export interface TargetHealthOptions {
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Number of different jobs that must fail in a row on a target before it is avoided. */
const MIN_FAILED_JOB_COUNT = 2;
/** Time for which a target that fails tasks is avoided; the platform's faults last 5 to 7 s. */
const FAILURE_AVOIDANCE_MS = 4_000;
/** Pause after a refusal for lack of capacity or health; the target reports once in between. */
const REFUSAL_AVOIDANCE_MS = 400;

interface HealthRecord {
  readonly failedJobs: ReadonlySet<string>;
  readonly avoidedUntilMs: number;
}

const HEALTHY: HealthRecord = { failedJobs: new Set(), avoidedUntilMs: 0 };

/**
 * Tracks which targets fail the tasks that they start.
 *
 * A single broken target could use up the attempts of many jobs: it fails tasks at once, so it
 * always has free capacity. One failing job says nothing about the target, because jobs that can
 * never succeed fail everywhere; two different jobs in a row without a success in between do.
 */
export class TargetHealth {
  private readonly options: TargetHealthOptions;

  private readonly healthByTarget = new Map<string, HealthRecord>();

  private readonly failedTargetsByTask = new Map<string, ReadonlySet<string>>();

  /**
   * Starts with all targets considered healthy.
   * @param options - Clock and log.
   */
  constructor(options: TargetHealthOptions) {
    this.options = options;
  }

  /**
   * Records a success.
   * @param targetId - Target on which a task was done.
   */
  noteSuccess(targetId: string): void {
    this.healthByTarget.delete(targetId);
  }

  /**
   * Records a failure.
   * @param targetId - Target on which a task failed.
   * @param jobId - Id of the task's job.
   * @param taskName - Name of the task.
   */
  noteFailure(targetId: string, jobId: string, taskName: string): void {
    const earlier = this.failedTargetsByTask.get(taskName) ?? new Set();
    this.failedTargetsByTask.set(taskName, new Set([...earlier, targetId]));
    const { failedJobs, avoidedUntilMs } = this.healthByTarget.get(targetId) ?? HEALTHY;
    const jobs = new Set([...failedJobs, jobId]);
    this.healthByTarget.set(targetId, { failedJobs: jobs, avoidedUntilMs });
    if (jobs.size >= MIN_FAILED_JOB_COUNT) this.avoid(targetId, FAILURE_AVOIDANCE_MS, 'failures');
  }

  /**
   * Records a stalled task. One stall is enough to avoid the target, as a job cannot cause it.
   * @param targetId - The target.
   */
  noteStall(targetId: string): void {
    this.avoid(targetId, FAILURE_AVOIDANCE_MS, 'stall');
  }

  /**
   * Records a start that a target refused for lack of capacity or health.
   * @param targetId - The target.
   */
  noteRefusal(targetId: string): void {
    this.avoid(targetId, REFUSAL_AVOIDANCE_MS, 'refusal');
  }

  /**
   * Tells whether a target is to be avoided at this moment.
   * @param targetId - The target.
   * @returns Whether it should get no new task.
   */
  isAvoided(targetId: string): boolean {
    const { avoidedUntilMs } = this.healthByTarget.get(targetId) ?? HEALTHY;
    return this.options.clock.monotonicMs() < avoidedUntilMs;
  }

  /**
   * Lists the targets on which a task has failed.
   * @param taskName - Name of the task.
   * @returns Ids of the targets.
   */
  getFailedTargets(taskName: string): ReadonlySet<string> {
    return this.failedTargetsByTask.get(taskName) ?? new Set();
  }

  private avoid(targetId: string, forMs: number, reason: string): void {
    const { clock, events } = this.options;
    const { failedJobs, avoidedUntilMs } = this.healthByTarget.get(targetId) ?? HEALTHY;
    const untilMs = Math.max(avoidedUntilMs, clock.monotonicMs() + forMs);
    this.healthByTarget.set(targetId, { failedJobs, avoidedUntilMs: untilMs });
    events.write('targetAvoided', { targetId, reason, forMs, failedJobCount: failedJobs.size });
  }
}
