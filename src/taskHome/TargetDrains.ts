import type { Clock } from '../utils/index.js';

interface Drain {
  readonly pool: string;
  readonly untilMs: number;
}

/** Targets that receive no new tasks because the fleet's home is about to take their VMs. */
export class TargetDrains {
  private readonly clock: Clock;

  private readonly drains = new Map<string, Drain>();

  /**
   * Starts without drains.
   * @param clock - Clock that expires drains that are not repeated.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Replaces the drains of a pool.
   * @param pool - The pool.
   * @param targetIds - Targets that receive no new tasks.
   * @param forMs - Duration of the drains, in milliseconds.
   */
  replace(pool: string, targetIds: readonly string[], forMs: number): void {
    const untilMs = this.clock.monotonicMs() + forMs;
    [...this.drains]
      .filter(([, drain]) => drain.pool === pool)
      .forEach(([targetId]) => this.drains.delete(targetId));
    targetIds.forEach((targetId) => this.drains.set(targetId, { pool, untilMs }));
  }

  /**
   * Tells whether a target receives no new tasks.
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
