import { ArrivalRate } from '../systems/index.js';
import type { Clock } from '../utils/index.js';

/** The work that arrives for each pool of a home. */
export class PoolArrivals {
  private readonly clock: Clock;

  private readonly rates = new Map<string, ArrivalRate>();

  /**
   * Starts without arrivals.
   * @param clock - Tells how old an arrival is.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Gets the rate of a pool.
   * @param pool - Name of the pool.
   * @returns Its rate, which begins empty.
   */
  get(pool: string): ArrivalRate {
    const known = this.rates.get(pool);
    if (known !== undefined) return known;
    const created = new ArrivalRate(this.clock);
    this.rates.set(pool, created);
    return created;
  }
}
