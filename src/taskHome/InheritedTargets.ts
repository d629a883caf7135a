import type { Clock } from '../utils/index.js';
import type { JobTable } from './JobTable.js';
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

/** An inherited lease counts as lapsed after its length, 2 % for clock drift, and a margin. */
const LEASE_FACTOR = 1.1;

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
    const { clock, runs, sessions, table, targetLeaseMs } = this.options;
    if (clock.monotonicMs() < this.claimedAtMs + targetLeaseMs * LEASE_FACTOR) return;
    [...table.listUsedTargets()]
      .filter((targetId) => !sessions.has(targetId))
      .forEach((targetId) => runs.handleLostTarget(targetId, 'lapsed'));
  }
}
