import type { Clock } from '../utils/index.js';

interface Drain {
  readonly pool: string;
  readonly untilMs: number;
}

/** Targets that get no new task because the fleet's home is about to take their VMs. */
export class TargetDrains {
  private readonly clock: Clock;

  private readonly drains = new Map<string, Drain>();

  /**
   * Starts without drains.
   * @param clock - Decides when a drain ends that nobody repeats.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Replaces the drains of a pool.
   * @param pool - The pool.
   * @param targetIds - Targets that get no new task.
   * @param forMs - How long, in milliseconds.
   */
  replace(pool: string, targetIds: readonly string[], forMs: number): void {
    const untilMs = this.clock.monotonicMs() + forMs;
    [...this.drains]
      .filter(([, drain]) => drain.pool === pool)
      .forEach(([targetId]) => this.drains.delete(targetId));
    targetIds.forEach((targetId) => this.drains.set(targetId, { pool, untilMs }));
  }

  /**
   * Tells whether a target gets no new task.
   * @param targetId - The target.
   * @returns Whether it is drained at this moment.
   */
  has(targetId: string): boolean {
    const drain = this.drains.get(targetId);
    return drain !== undefined && this.clock.monotonicMs() < drain.untilMs;
  }

  /**
   * Lists the drained targets.
   * @returns Their ids.
   */
  list(): ReadonlySet<string> {
    return new Set([...this.drains.keys()].filter((targetId) => this.has(targetId)));
  }
}
