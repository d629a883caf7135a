import { parseTaskName, type CrashOutcome } from '../jobs/index.js';
import {
  attributeCrash,
  type CrashedRun,
  type CrashEvidence,
  isStableRun,
} from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { JobTable } from './JobTable.js';
import type { JobTelemetry } from './JobTelemetry.js';
import type { OrderedRun } from './RunOrder.js';
import type { TargetLossReason, TargetSessions } from './TargetSessions.js';
import type { TaskOrders } from './TaskOrders.js';

/** Options of {@link CrashAttribution}. */
export interface CrashAttributionOptions {
  readonly table: JobTable;
  readonly orders: Pick<TaskOrders, 'find' | 'listOn'>;
  /** Gets the sessions with the targets, which are created after the runs. */
  readonly getSessions: () => Pick<
    TargetSessions,
    'getAnsweredAtMs' | 'hasJustStarted' | 'isDraining'
  >;
  readonly telemetry: JobTelemetry;
  readonly clock: Clock;
}

/** What the crash of a target implies for the task of a lost run. */
export interface AttributedCrash {
  readonly run: OrderedRun;
  readonly crash: CrashOutcome;
}

/** A lost run, and how long its target is known to have survived it. */
interface LostRun {
  readonly run: OrderedRun;
  readonly survivedMs: number;
}

interface RecordedLoss {
  readonly runs: readonly LostRun[];
  /** Whether the target had started shortly before. */
  readonly hasJustStarted: boolean;
  /** Monotonic time at which the record expires. */
  readonly expiresAtMs: number;
}

/**
 * Time for which a loss of unknown cause is kept, in milliseconds; the list of VMs shows a crash
 * for 10 s.
 */
const LOSS_RETENTION_MS = 15_000;

/** Records lost targets, and attributes their crashes to the tasks that ran on them. */
export class CrashAttribution {
  private readonly options: CrashAttributionOptions;

  /** Losses that may turn out to be crashes, by target. */
  private readonly losses = new Map<string, RecordedLoss>();

  /**
   * Starts without losses.
   * @param options - Jobs, runs, and the sessions with the targets.
   */
  constructor(options: CrashAttributionOptions) {
    this.options = options;
  }

  /**
   * Tells whether a target has survived a run long enough to show that its start does not crash it.
   * @param taskName - Name of the task.
   * @param targetId - The target.
   * @returns Whether it has.
   */
  isProven(taskName: string, targetId: string): boolean {
    const begunAtMs = this.options.orders.find(taskName)?.begunAtMs;
    return isStableRun(this.getSurvivedMs(begunAtMs, targetId));
  }

  /**
   * Records the loss of a target whose session is still open.
   *
   * A draining target is not recorded as a possible crash: it leaves by itself, and its tasks must
   * not be given up for that.
   * @param targetId - The target.
   * @param reason - How the loss became known.
   * @returns All runs that were on it.
   */
  noteLoss(targetId: string, reason: TargetLossReason): readonly OrderedRun[] {
    const runs = this.options.orders.listOn(targetId);
    const lostRuns = runs.map((run): LostRun => {
      const survivedMs = this.getSurvivedMs(run.begunAtMs, targetId);
      return { run, survivedMs };
    });
    lostRuns.forEach((loss) => this.report(loss, reason, runs.length));
    const nowMs = this.options.clock.monotonicMs();
    [...this.losses]
      .filter(([, { expiresAtMs }]) => expiresAtMs <= nowMs)
      .forEach(([lostTargetId]) => this.losses.delete(lostTargetId));
    const sessions = this.options.getSessions();
    if (runs.length > 0 && !sessions.isDraining(targetId)) {
      const hasJustStarted = sessions.hasJustStarted(targetId);
      const expiresAtMs = nowMs + LOSS_RETENTION_MS;
      this.losses.set(targetId, { runs: lostRuns, hasJustStarted, expiresAtMs });
    }
    return runs;
  }

  /**
   * Attributes the crash of a target to the tasks that were lost with it.
   * @param targetId - The target; its loss may have been recorded some seconds ago.
   * @param evidence - Strength of the crash as evidence; it is weak as well if the target had just
   * started.
   * @returns The verdict for each task; empty if the crash was reported before.
   */
  attributeCrash(targetId: string, evidence: CrashEvidence): readonly AttributedCrash[] {
    const { runs = [], hasJustStarted = false } = this.losses.get(targetId) ?? {};
    this.losses.delete(targetId);
    const crashed = runs.map((lost) => this.describeCrashedRun(lost));
    const verdicts = attributeCrash(crashed, hasJustStarted ? 'weak' : evidence);
    return runs.map(({ run }, index): AttributedCrash => {
      const { crashCount, isCause: isToBlame } = verdicts[index]!;
      return { run, crash: { crashCount, isTaskGivenUp: isToBlame } };
    });
  }

  /**
   * Describes a lost run; its task still counts among the others if its job has ended meanwhile.
   */
  private describeCrashedRun({ run, survivedMs }: LostRun): CrashedRun {
    const { table } = this.options;
    const { taskName, isSent } = run;
    const jobId = parseTaskName(taskName)?.jobId ?? taskName;
    const crashCount = table.findTask(taskName)?.task.crashCount ?? 0;
    const isLongRunning = table.getStep(taskName)?.isLongRunning === true;
    return { jobId, crashCount, isLongRunning, isSent, survivedMs };
  }

  private getSurvivedMs(begunAtMs: number | undefined, targetId: string): number {
    const answeredAtMs = this.options.getSessions().getAnsweredAtMs(targetId);
    if (begunAtMs === undefined || answeredAtMs === undefined) return 0;
    return Math.max(0, answeredAtMs - begunAtMs);
  }

  private report({ run, survivedMs }: LostRun, reason: TargetLossReason, runCount: number): void {
    const { table, telemetry } = this.options;
    const row = table.findPlaced(run)?.row;
    const { isSent } = run;
    if (row !== undefined) telemetry.noteLost(row, run, { reason, isSent, survivedMs, runCount });
  }
}
