import type { EventLog } from '../logging/index.js';
import type { Clock } from '../utils/index.js';
import { getLongestPageDelayMs } from './pageTransfer.js';

/** Options of {@link OpeningWatch}. */
export interface OpeningWatchOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Speed of this instance's link, in megabits per second. */
  readonly linkMbps: number;
}

/** What an instance does with its share at a moment. */
export interface OpeningState {
  readonly hasOpenHome: boolean;
  /** Whether a partition is being claimed or read. */
  readonly isOpening: boolean;
}

/** Time without progress, beside a few pages, after which others should try, in milliseconds. */
const PATIENCE_MS = 5_000;
/** Pages that may be on their way to this instance one after another. */
const PATIENCE_PAGES = 4;
/** Shortest and longest time away from the group, in milliseconds; it doubles without progress. */
const SHORTEST_AWAY_MS = 3_000;
const LONGEST_AWAY_MS = 60_000;

/**
 * Decides when an instance that can open none of its partitions leaves them to others.
 *
 * A membership is renewed apart from the store's records. An instance that the store gives none of
 * them would otherwise hold its share without end, and the pools in it would have no home. One with
 * an open home stays: its other partitions fail for reasons that another instance meets as well.
 */
export class OpeningWatch {
  private readonly options: OpeningWatchOptions;

  private readonly patienceMs: number;

  private failingSinceMs: number | undefined;

  private awayMs = SHORTEST_AWAY_MS;

  private awayUntilMs = Number.NEGATIVE_INFINITY;

  /**
   * Starts without failures.
   * @param options - The clock, and the link that pages come by.
   */
  constructor(options: OpeningWatchOptions) {
    this.options = options;
    this.patienceMs = PATIENCE_MS + PATIENCE_PAGES * getLongestPageDelayMs(options.linkMbps);
  }

  /** Takes note that a page of a partition was read, or a home opened. */
  noteProgress(): void {
    this.failingSinceMs = undefined;
    this.awayMs = SHORTEST_AWAY_MS;
  }

  /** Takes note that an attempt to open a partition has failed. */
  noteFailure(): void {
    this.failingSinceMs ??= this.options.clock.monotonicMs();
  }

  /**
   * Tells whether this instance may hold partitions; called before each renewal.
   * @param state - What it does with its share.
   * @returns Whether it may. It may not for a while after openings have failed for too long.
   */
  mayHold({ hasOpenHome, isOpening }: OpeningState): boolean {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs < this.awayUntilMs) return false;
    if (hasOpenHome || !isOpening) this.failingSinceMs = undefined;
    const forMs = nowMs - (this.failingSinceMs ?? nowMs);
    if (forMs < this.patienceMs) return true;
    this.leave(nowMs, forMs);
    return false;
  }

  private leave(nowMs: number, forMs: number): void {
    const { awayMs } = this;
    this.options.events.write('openingsGivenUp', { forMs: Math.round(forMs), awayMs });
    this.failingSinceMs = undefined;
    this.awayUntilMs = nowMs + awayMs;
    this.awayMs = Math.min(LONGEST_AWAY_MS, 2 * awayMs);
  }
}
