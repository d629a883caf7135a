import type { EventLog } from '../logging/index.js';
import type { Clock } from '../utils/index.js';

/** Options of {@link TargetHealth}. */
export interface TargetHealthOptions {
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Different jobs that have to fail in a row on a target before it is avoided. */
const FAILED_JOBS_TO_AVOID = 2;
/** How long a target that fails tasks is avoided: the platform's faults last 5 to 7 s. */
const AVOID_FAILING_MS = 4_000;
/** Pause after a refusal for want of room or health: one report of the target is in between. */
const AVOID_REFUSING_MS = 400;

interface Health {
  readonly failedJobs: ReadonlySet<string>;
  readonly avoidedUntilMs: number;
}

const SOUND: Health = { failedJobs: new Set(), avoidedUntilMs: 0 };

/**
 * Learns which targets fail what they start.
 *
 * Guards against one broken target that uses up the attempts of many jobs: it fails tasks at once,
 * so it always has room. A single failing job says nothing about the target, as jobs that can never
 * succeed fail everywhere; two different jobs in a row without a success between them do.
 */
export class TargetHealth {
  private readonly options: TargetHealthOptions;

  private readonly healths = new Map<string, Health>();

  private readonly failedTargets = new Map<string, ReadonlySet<string>>();

  /**
   * Starts without a bad word about any target.
   * @param options - Clock and log.
   */
  constructor(options: TargetHealthOptions) {
    this.options = options;
  }

  /**
   * Takes note of a success.
   * @param targetId - Where a task was done.
   */
  noteSuccess(targetId: string): void {
    this.healths.delete(targetId);
  }

  /**
   * Takes note of a failure.
   * @param targetId - Where a task failed.
   * @param jobId - Its job.
   * @param taskName - Its name.
   */
  noteFailure(targetId: string, jobId: string, taskName: string): void {
    const earlier = this.failedTargets.get(taskName) ?? new Set();
    this.failedTargets.set(taskName, new Set([...earlier, targetId]));
    const { failedJobs, avoidedUntilMs } = this.healths.get(targetId) ?? SOUND;
    const jobs = new Set([...failedJobs, jobId]);
    this.healths.set(targetId, { failedJobs: jobs, avoidedUntilMs });
    if (jobs.size >= FAILED_JOBS_TO_AVOID) this.avoid(targetId, AVOID_FAILING_MS, 'failures');
  }

  /**
   * Takes note of a task that stood still, which a job cannot be to blame for.
   * @param targetId - The target.
   */
  noteStall(targetId: string): void {
    this.avoid(targetId, AVOID_FAILING_MS, 'stall');
  }

  /**
   * Takes note of a start that a target refused for want of room or health.
   * @param targetId - The target.
   */
  noteRefusal(targetId: string): void {
    this.avoid(targetId, AVOID_REFUSING_MS, 'refusal');
  }

  /**
   * Tells whether a target is to be avoided at this moment.
   * @param targetId - The target.
   * @returns Whether it should get no new task.
   */
  isAvoided(targetId: string): boolean {
    const { avoidedUntilMs } = this.healths.get(targetId) ?? SOUND;
    return this.options.clock.monotonicMs() < avoidedUntilMs;
  }

  /**
   * Lists the targets on which a task has failed.
   * @param taskName - Name of the task.
   * @returns Ids of the targets.
   */
  getFailedTargets(taskName: string): ReadonlySet<string> {
    return this.failedTargets.get(taskName) ?? new Set();
  }

  private avoid(targetId: string, forMs: number, reason: string): void {
    const { clock, events } = this.options;
    const { failedJobs, avoidedUntilMs } = this.healths.get(targetId) ?? SOUND;
    const untilMs = Math.max(avoidedUntilMs, clock.monotonicMs() + forMs);
    this.healths.set(targetId, { failedJobs, avoidedUntilMs: untilMs });
    events.write('targetAvoided', { targetId, reason, forMs, failedJobCount: failedJobs.size });
  }
}
