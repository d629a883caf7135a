import type { Clock } from './Clock.js';

/**
 * A clock whose wall time was read once and goes on with the monotonic clock.
 *
 * Guards against a time of day that jumps by seconds: jobs would look older or younger than they
 * are, be taken for too late, and come last. Ages within one process stay right.
 */
export class SteadyClock implements Clock {
  private readonly clock: Clock;

  private readonly offsetMs: number;

  /**
   * Reads the wall time.
   * @param clock - The clock that may jump.
   */
  constructor(clock: Clock) {
    this.clock = clock;
    this.offsetMs = clock.wallMs() - clock.monotonicMs();
  }

  /** {@inheritDoc Clock.monotonicMs} */
  monotonicMs(): number {
    return this.clock.monotonicMs();
  }

  /** {@inheritDoc Clock.wallMs} */
  wallMs(): number {
    return Math.round(this.offsetMs + this.clock.monotonicMs());
  }
}
