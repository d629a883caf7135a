import type { Clock } from '../utils/index.js';
import type { LeaseTiming } from './LeaseTiming.js';

/** Options of {@link HeldLease}. */
export interface HeldLeaseOptions {
  readonly clock: Clock;
  readonly timing: LeaseTiming;
}

/** This instance's own lease; its validity depends only on this instance's clocks. */
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
   * Reads both clocks just before a join or renewal is sent.
   * @returns The readings, to be passed to {@link extend} once the record is accepted.
   */
  readClocks(): { readonly monotonicMs: number; readonly wallMs: number } {
    const { clock } = this.options;
    return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() };
  }

  /**
   * Extends the lease after a join or renewal was read back as accepted.
   *
   * The lease counts from before the record was sent. Contenders can read the record only after
   * that, so the holder's deadline is always earlier than theirs.
   * @param sentAt - Clocks just before the record was sent.
   */
  extend(sentAt: { readonly monotonicMs: number; readonly wallMs: number }): void {
    const { leaseMs, marginMs } = this.options.timing;
    const durationMs = leaseMs - marginMs;
    this.monotonicDeadlineMs = Math.max(this.monotonicDeadlineMs, sentAt.monotonicMs + durationMs);
    this.wallDeadlineMs = Math.max(this.wallDeadlineMs, sentAt.wallMs + durationMs);
  }

  /**
   * Gets the age of the lease, by the clock that shows more: one of them may have stood still.
   * @returns Time since the latest accepted record was sent, in milliseconds; infinite before it.
   */
  getAgeMs(): number {
    const { clock, timing } = this.options;
    const durationMs = timing.leaseMs - timing.marginMs;
    const leftMs = Math.min(
      this.monotonicDeadlineMs - clock.monotonicMs(),
      this.wallDeadlineMs - clock.wallMs(),
    );
    return durationMs - leftMs;
  }

  /** Gives up the lease immediately. */
  drop(): void {
    this.monotonicDeadlineMs = Number.NEGATIVE_INFINITY;
    this.wallDeadlineMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * Checks whether the lease is held now.
   *
   * If the process or its VM was paused, other instances may have seen the lease lapse, and this
   * instance must not act on it any more. Both clocks advance while a process is stopped, but the
   * monotonic clock can stand still while a host pauses the VM, so the lease also ends by the wall
   * clock. Callers check the lease immediately before each action that it protects.
   * @returns Whether the lease is held.
   */
  isHeld(): boolean {
    const { clock } = this.options;
    return clock.monotonicMs() < this.monotonicDeadlineMs && clock.wallMs() < this.wallDeadlineMs;
  }
}
