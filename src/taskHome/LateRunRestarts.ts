import type { EventLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import {
  type ExpectedRest,
  listAllocations,
  type Mechanisms,
  type PlacementTarget,
  planRestart,
  TargetCapacity,
} from '../systems/index.js';
import type { RunningTaskReport } from '../targets/index.js';
import type { Clock } from '../utils/index.js';
import type { JobTable } from './JobTable.js';
import type { ComparableRun } from './PaceObserver.js';
import type { RunKey } from './RunKey.js';
import type { RunStopper } from './RunStopper.js';
import type { TargetReport } from './TargetSession.js';
import type { TargetSessions } from './TargetSessions.js';
import type { TaskOrders } from './TaskOrders.js';
import type { UnevenTargets } from './UnevenTargets.js';

/** Options of {@link LateRunRestarts}. */
export interface LateRunRestartsOptions {
  readonly table: JobTable;
  readonly uneven: Pick<UnevenTargets, 'getIntake' | 'isSlow' | 'paces'>;
  readonly orders: Pick<TaskOrders, 'isStopping'>;
  readonly stopper: Pick<RunStopper, 'stopForRestart'>;
  /** Gets the sessions with the targets, which are created after the runs. */
  readonly getSessions: () => Pick<TargetSessions, 'listForPlacement'>;
  /** Tells whether a target gets no new task for another cause than its pace. */
  readonly isAvoided: (targetId: string) => boolean;
  /** Whether this instance is certain to be the home at this moment. */
  readonly isGroupLeaseHeld: () => boolean;
  readonly mechanisms: Mechanisms;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/** A late run whose task ends sooner elsewhere. */
interface Candidate extends ComparableRun {
  readonly key: RunKey;
  readonly rest: ExpectedRest;
  readonly progressPercent: number;
}

/**
 * Time since a report was asked for from which it is outdated, in milliseconds: the target may hold
 * it back for 1 s. If this process was paused, a run may have ended since such a report.
 */
const MAX_REPORT_AGE_MS = 2_000;
/** Pause between two searches for room, which visit all jobs, in milliseconds. */
const SEARCH_PAUSE_MS = 100;

/** Stops late runs on slow targets whose tasks end sooner if they start again elsewhere. */
export class LateRunRestarts {
  private readonly options: LateRunRestartsOptions;

  /** Tasks that were restarted; each is once at most. */
  private restarted: ReadonlySet<string> = new Set();

  /** Targets that are being drained. */
  private drainedTargets: ReadonlySet<string> = new Set();

  private nextSearchAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Starts without restarts.
   * @param options - Jobs, runs and targets.
   */
  constructor(options: LateRunRestartsOptions) {
    this.options = options;
  }

  /**
   * Restarts late runs of a slow target, as far as there is room elsewhere. An instance that may
   * not be the home stops none, as it could not start them again.
   * @param targetId - The target.
   * @param report - Its report.
   */
  check(targetId: string, { answer, askedAtMs }: Pick<TargetReport, 'answer' | 'askedAtMs'>): void {
    const { clock, isGroupLeaseHeld, mechanisms, uneven } = this.options;
    if (!mechanisms.has('late-runs-restarted') || !uneven.isSlow(targetId)) return;
    const nowMs = clock.monotonicMs();
    if (!isGroupLeaseHeld() || nowMs - askedAtMs > MAX_REPORT_AGE_MS) return;
    if (nowMs < this.nextSearchAtMs) return;
    const candidates = answer.running
      .flatMap((running) => this.listCandidates(targetId, running))
      .toSorted((a, b) => b.rest.hereMs - a.rest.hereMs);
    if (candidates.length === 0) return;
    this.nextSearchAtMs = nowMs + SEARCH_PAUSE_MS;
    this.filterWithRoom(targetId, candidates).forEach((candidate) => this.restart(candidate));
  }

  /**
   * Records the targets that are being drained, which have no room.
   * @param drainedTargets - Their ids.
   */
  noteDrained(drainedTargets: ReadonlySet<string>): void {
    this.drainedTargets = drainedTargets;
  }

  /** Lists a run if its task ends sooner elsewhere, and nothing otherwise. */
  private listCandidates(
    targetId: string,
    { taskName, run, progressPercent }: RunningTaskReport,
  ): readonly Candidate[] {
    const { orders, uneven } = this.options;
    const key = { taskName, run, targetId };
    if (this.restarted.has(taskName) || orders.isStopping(taskName)) return [];
    const span = uneven.paces.getSpan(taskName);
    const found = uneven.paces.find(key);
    if (span === undefined || found === undefined) return [];
    const rest = planRestart({ ...found, ...span, progressPercent });
    return rest.isSoonerElsewhere ? [{ ...found, key, rest, progressPercent }] : [];
  }

  /** Keeps the runs for which other targets have room at this moment, all of them together. */
  private filterWithRoom(targetId: string, candidates: readonly Candidate[]): readonly Candidate[] {
    const { table } = this.options;
    const capacities = this.listTargets()
      .filter((target) => target.targetId !== targetId)
      .map((target) => new TargetCapacity(target));
    const byTarget = new Map(capacities.map((capacity) => [capacity.target.targetId, capacity]));
    table
      .listActive()
      .flatMap(listAllocations)
      .forEach(({ targetId: usedId, stepKey, step }) =>
        byTarget.get(usedId)?.allocate(stepKey, step),
      );
    return candidates.filter(({ row, position, stepKey }) => {
      const step = row.spec.steps[row.tasks[position]!.step]!;
      const free = capacities.find(
        (capacity) =>
          capacity.target.pool === row.spec.terms.pool && capacity.accepts(stepKey, step),
      );
      free?.allocate(stepKey, step);
      return free !== undefined;
    });
  }

  private listTargets(): readonly PlacementTarget[] {
    const { getSessions, isAvoided, uneven } = this.options;
    return getSessions()
      .listForPlacement((targetId) => isAvoided(targetId) || this.drainedTargets.has(targetId))
      .filter((target) => uneven.getIntake(target.targetId) === 'all');
  }

  private restart({ key, row, rest, progressPercent }: Candidate): void {
    const { events, metrics, stopper, table } = this.options;
    const { taskName } = key;
    const known = [...this.restarted].filter((name) => table.findTask(name) !== undefined);
    this.restarted = new Set([...known, taskName]);
    const { jobId, terms } = row.spec;
    metrics.increment('late_runs_restarted', { pool: terms.pool });
    events.write('runRestarted', {
      jobId,
      ...key,
      progressPercent,
      restMs: Number.isFinite(rest.hereMs) ? Math.round(rest.hereMs) : undefined,
      restElsewhereMs: Math.round(rest.elsewhereMs),
    });
    stopper.stopForRestart(taskName);
  }
}
