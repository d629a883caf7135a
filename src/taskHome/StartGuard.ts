import { exceedsCapacity } from '../systems/index.js';
import type { JobTable } from './JobTable.js';
import type { TargetSessions } from './TargetSessions.js';
import type { TaskOrders } from './TaskOrders.js';

/** Options of {@link StartGuard}. */
export interface StartGuardOptions {
  readonly table: JobTable;
  readonly orders: Pick<TaskOrders, 'listOn'>;
  /** Sessions with the targets, which are created after the runs. */
  readonly getSessions: () => Pick<TargetSessions, 'getCapacity' | 'hasShrunk' | 'isDraining'>;
}

/** Knows which targets must be given no start, whatever was placed there before. */
export class StartGuard {
  private readonly options: StartGuardOptions;

  /** Targets on which an earlier home has placed runs. */
  private readonly adoptedTargets = new Set<string>();

  /**
   * Guards no target yet.
   * @param options - Jobs, runs, and what targets say of themselves.
   */
  constructor(options: StartGuardOptions) {
    this.options = options;
  }

  /**
   * Takes note of a run that an earlier home has placed.
   * @param targetId - Its target.
   */
  noteAdopted(targetId: string): void {
    this.adoptedTargets.add(targetId);
  }

  /**
   * Tells whether a target must be given no start.
   * @param targetId - The target.
   * @returns Whether it leaves, or has less room than its runs need.
   */
  refusesStarts(targetId: string): boolean {
    return this.options.getSessions().isDraining(targetId) || this.isOverfull(targetId);
  }

  /**
   * Guards against a start that overfills a target which does not look after its room itself: the
   * room has shrunk while the placement was stored, or before the home that repeats the start.
   */
  private isOverfull(targetId: string): boolean {
    const { table, orders, getSessions } = this.options;
    const sessions = getSessions();
    const mayBe = sessions.hasShrunk(targetId) || this.adoptedTargets.has(targetId);
    const capacity = sessions.getCapacity(targetId);
    if (!mayBe || capacity === undefined) return false;
    const steps = orders
      .listOn(targetId)
      .map(({ taskName }) => table.getStep(taskName))
      .filter((step) => step !== undefined);
    return exceedsCapacity(steps, capacity);
  }
}
