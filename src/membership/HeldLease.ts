import type { Clock } from '../utils/index.js';
import type { LeaseTiming } from './LeaseTiming.js';

/** Options of {@link HeldLease}. */
export interface HeldLeaseOptions {
  readonly clock: Clock;
  readonly timing: LeaseTiming;
}

/** This instance's own lease, judged only by its own clocks. */
export class HeldLease {
  private readonly options: HeldLeaseOptions;

  private monotonicDeadlineMs = Number.NEGATIVE_INFINITY;

  private wallDeadlineMs = Number.NEGATIVE_INFINITY;

  /**
   * Creates a lease that is not held.
   * @param options - Clock and timing.
   */
  constructor(options: HeldLeaseOptions) {
    this.options = options;
  }

  /**
   * Notes the time just before a join or renewal is sent.
   * @returns Both clocks' readings, to be handed to {@link extend} once it is accepted.
   */
  readClocks(): { readonly monotonicMs: number; readonly wallMs: number } {
    const { clock } = this.options;
    return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() };
  }

  /**
   * Extends the lease after a join or renewal was read back as accepted.
   *
   * Counting from before the sending keeps the holder's deadline ahead of every contender's, who
   * can have read the record only after it was sent.
   * @param sentAt - Clocks just before the record was sent.
   */
  extend(sentAt: { readonly monotonicMs: number; readonly wallMs: number }): void {
    const { leaseMs, marginMs } = this.options.timing;
    const lengthMs = leaseMs - marginMs;
    this.monotonicDeadlineMs = Math.max(this.monotonicDeadlineMs, sentAt.monotonicMs + lengthMs);
    this.wallDeadlineMs = Math.max(this.wallDeadlineMs, sentAt.wallMs + lengthMs);
  }

  /** Gives the lease up at once. */
  drop(): void {
    this.monotonicDeadlineMs = Number.NEGATIVE_INFINITY;
    this.wallDeadlineMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * Tells whether the lease holds at this moment.
   *
   * Failure: the process or its VM was paused and acts on a lease that others have seen lapse. A
   * stopped process misses neither clock; a VM paused by its host can miss the monotonic one, so
   * the lease also ends by the wall clock. Called immediately before each act that it protects.
   * @returns Whether the lease holds.
   */
  isHeld(): boolean {
    const { clock } = this.options;
    return clock.monotonicMs() < this.monotonicDeadlineMs && clock.wallMs() < this.wallDeadlineMs;
  }
}
