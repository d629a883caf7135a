import { ArrivalRate } from '../systems/index.js';
import type { Clock } from '../utils/index.js';

/** Tracks the rate at which work arrives for each pool of a home. */
export class PoolArrivals {
  private readonly clock: Clock;

  private readonly rates = new Map<string, ArrivalRate>();

  /**
   * Creates a tracker without arrivals.
   * @param clock - Clock that measures the age of arrivals.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Gets the arrival rate of a pool.
   * @param pool - Name of the pool.
   * @returns Its rate, which has no arrivals at first.
   */
  get(pool: string): ArrivalRate {
    const known = this.rates.get(pool);
    if (known !== undefined) return known;
    const created = new ArrivalRate(this.clock);
    this.rates.set(pool, created);
    return created;
  }
}
