import type { Clock } from '../utils/index.js';
import type { JobTable } from './JobTable.js';
import { getExtensionGraceMs, LAPSE_MARGIN_MS, SLOWEST_TARGET_CLOCK_RATE } from './leaseBounds.js';
import type { TargetSessions } from './TargetSessions.js';
import type { TaskRuns } from './TaskRuns.js';

/** Options of {@link InheritedTargets}. */
export interface InheritedTargetsOptions {
  readonly clock: Clock;
  readonly targetLeaseMs: number;
  readonly table: Pick<JobTable, 'listUsedTargets'>;
  readonly sessions: Pick<TargetSessions, 'has'>;
  readonly runs: Pick<TaskRuns, 'handleLostTarget'>;
}

/** Finds the targets of an earlier home that were gone before this home claimed the partition. */
export class InheritedTargets {
  private readonly options: InheritedTargetsOptions;

  private readonly claimedAtMs: number;

  /**
   * Begins to wait for the inherited leases to lapse.
   * @param options - Clock, length of the leases, and the jobs with their runs.
   */
  constructor(options: InheritedTargetsOptions) {
    this.options = options;
    this.claimedAtMs = options.clock.monotonicMs();
  }

  /** Marks the runs on such targets as lost once the leases have lapsed. */
  loseUnknownTargets(): void {
    const { clock, runs, sessions, table, targetLeaseMs: leaseMs } = this.options;
    const longestMs = (leaseMs + getExtensionGraceMs(leaseMs)) / SLOWEST_TARGET_CLOCK_RATE;
    if (clock.monotonicMs() < this.claimedAtMs + longestMs + LAPSE_MARGIN_MS) return;
    [...table.listUsedTargets()]
      .filter((targetId) => !sessions.has(targetId))
      .forEach((targetId) => runs.handleLostTarget(targetId, 'lapsed'));
  }
}
