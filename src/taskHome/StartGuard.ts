import { exceedsCapacity } from '../systems/index.js';
import type { JobTable } from './JobTable.js';
import type { TargetSessions } from './TargetSessions.js';
import type { TaskOrders } from './TaskOrders.js';

/** Options of {@link StartGuard}. */
export interface StartGuardOptions {
  readonly table: JobTable;
  readonly orders: Pick<TaskOrders, 'listOn'>;
  /** Gets the sessions with the targets, which are created after the runs. */
  readonly getSessions: () => Pick<TargetSessions, 'getCapacity' | 'hasShrunk' | 'isDraining'>;
}

/** Decides which targets must not receive a start, even of a run that is already placed there. */
export class StartGuard {
  private readonly options: StartGuardOptions;

  /** Targets on which an earlier home has placed runs. */
  private readonly adoptedTargets = new Set<string>();

  /**
   * Starts without adopted targets.
   * @param options - Jobs, runs, and the sessions with the targets.
   */
  constructor(options: StartGuardOptions) {
    this.options = options;
  }

  /**
   * Records that an earlier home has placed a run on a target.
   * @param targetId - The target.
   */
  noteAdopted(targetId: string): void {
    this.adoptedTargets.add(targetId);
  }

  /**
   * Tells whether a target must not receive a start.
   * @param targetId - The target.
   * @returns Whether it is draining, or has less capacity than its runs need.
   */
  refusesStarts(targetId: string): boolean {
    return this.options.getSessions().isDraining(targetId) || this.isOvercommitted(targetId);
  }

  /**
   * Tells whether the runs on a target need more than its capacity. A start could overcommit a
   * target that does not enforce its capacity itself, if the capacity shrank while the placement
   * was being stored, or before this home took over and repeated the start.
   */
  private isOvercommitted(targetId: string): boolean {
    const { table, orders, getSessions } = this.options;
    const sessions = getSessions();
    const mayBeOvercommitted = sessions.hasShrunk(targetId) || this.adoptedTargets.has(targetId);
    const capacity = sessions.getCapacity(targetId);
    if (!mayBeOvercommitted || capacity === undefined) return false;
    const steps = orders
      .listOn(targetId)
      .map(({ taskName }) => table.getStep(taskName))
      .filter((step) => step !== undefined);
    return exceedsCapacity(steps, capacity);
  }
}
