import type { EventLog } from '../logging/index.js';
import type { Clock } from '../utils/index.js';

/** How far the opening of a partition has come; `replaced` waits for the group's next answer. */
export type UnopenedPhase = 'replaced' | 'claiming' | 'reading';

/** A partition of this instance's share that has no open home. */
export interface UnopenedPartition {
  readonly partition: number;
  readonly phase: UnopenedPhase;
  /** Number of its records that have been read. */
  readonly recordCount: number;
}

/** Options of {@link UnopenedPartitions}. */
export interface UnopenedPartitionsOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Whether the lease of this instance on its share holds; it claims nothing without. */
  readonly isLeaseHeld: () => boolean;
}

/** Time without an open home from which a partition is logged, in milliseconds. */
const LOGGED_AFTER_MS = 2_000;
/** Time between two log lines, in milliseconds. */
const INTERVAL_MS = 1_000;
/** Number of partitions that a log line names. */
const NAMED_COUNT = 5;

/** Logs the partitions of this instance that have had no open home for a while, once a second. */
export class UnopenedPartitions {
  private readonly options: UnopenedPartitionsOptions;

  private sinceMs: ReadonlyMap<number, number> = new Map();

  private nextAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Starts without partitions.
   * @param options - The clock, and where to log.
   */
  constructor(options: UnopenedPartitionsOptions) {
    this.options = options;
  }

  /**
   * Takes note of the partitions without an open home, and logs those that have had none for long.
   * @param unopened - All such partitions of this instance's share.
   */
  check(unopened: readonly UnopenedPartition[]): void {
    const nowMs = this.options.clock.monotonicMs();
    const getSinceMs = ({ partition }: UnopenedPartition): number =>
      this.sinceMs.get(partition) ?? nowMs;
    this.sinceMs = new Map(unopened.map((one) => [one.partition, getSinceMs(one)]));
    if (nowMs < this.nextAtMs) return;
    const late = unopened
      .filter((one) => nowMs - getSinceMs(one) > LOGGED_AFTER_MS)
      .toSorted((a, b) => getSinceMs(a) - getSinceMs(b));
    const [longest] = late;
    if (longest === undefined) return;
    this.nextAtMs = nowMs + INTERVAL_MS;
    const { events, isLeaseHeld } = this.options;
    events.write('partitionsUnopened', {
      partitionCount: late.length,
      partitions: late.slice(0, NAMED_COUNT).map(({ partition }) => `${partition}`),
      longestMs: Math.round(nowMs - getSinceMs(longest)),
      phase: longest.phase,
      recordCount: longest.recordCount,
      isLeaseHeld: isLeaseHeld(),
    });
  }
}
