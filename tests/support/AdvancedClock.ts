import { type Clock, SystemClock } from '../../src/utils/index.js';

/** The system's clock, which a test moves forward as if the process had been paused meanwhile. */
export class AdvancedClock implements Clock {
  private readonly clock = new SystemClock();

  private aheadMs = 0;

  /** {@inheritDoc Clock.monotonicMs} */
  monotonicMs(): number {
    return this.clock.monotonicMs() + this.aheadMs;
  }

  /** {@inheritDoc Clock.wallMs} */
  wallMs(): number {
    return this.clock.wallMs() + this.aheadMs;
  }

  /**
   * Moves both clocks forward.
   * @param byMs - Milliseconds to add.
   */
  advance(byMs: number): void {
    this.aheadMs += byMs;
  }
}
