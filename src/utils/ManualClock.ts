import type { Clock } from './Clock.js';

/** Clock that only moves when it is told to: for tests, replays and benches. */
export class ManualClock implements Clock {
  private nowMs: number;

  private wallAheadMs = 0;

  /**
   * Starts the clock at a given time.
   * @param startMs - Reading of both clocks at the start, in milliseconds.
   */
  constructor(startMs = 0) {
    this.nowMs = startMs;
  }

  /** {@inheritDoc Clock.monotonicMs} */
  monotonicMs(): number {
    return this.nowMs;
  }

  /** {@inheritDoc Clock.wallMs} */
  wallMs(): number {
    return this.nowMs + this.wallAheadMs;
  }

  /**
   * Moves both clocks forward.
   * @param byMs - Milliseconds to add.
   */
  advance(byMs: number): void {
    this.nowMs += byMs;
  }

  /**
   * Lets the time of day alone jump.
   * @param byMs - Milliseconds to add; negative to jump back.
   */
  jump(byMs: number): void {
    this.wallAheadMs += byMs;
  }
}
