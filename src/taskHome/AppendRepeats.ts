import type { EventLog } from '../logging/index.js';
import type { Clock } from '../utils/index.js';

/** Options of {@link AppendRepeats}. */
export interface AppendRepeatsOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly topic: string;
  readonly partition: number;
  readonly term: number;
}

/** Time from which repeats of an append are logged, and between two log lines, in milliseconds. */
const INTERVAL_MS = 1_000;

/** Logs an append that has been repeated for more than a second, once a second. */
export class AppendRepeats {
  private readonly options: AppendRepeatsOptions;

  private startedAtMs = 0;

  private loggedAtMs = 0;

  private recordCount = 0;

  private attemptCount = 0;

  /**
   * Starts without an append.
   * @param options - The partition and term, and where to log.
   */
  constructor(options: AppendRepeatsOptions) {
    this.options = options;
  }

  /**
   * Takes note that a new append begins.
   * @param recordCount - Number of its records.
   */
  begin(recordCount: number): void {
    this.startedAtMs = this.options.clock.monotonicMs();
    this.loggedAtMs = this.startedAtMs;
    this.recordCount = recordCount;
    this.attemptCount = 0;
  }

  /**
   * Takes note that an attempt has failed and is to be repeated.
   * @param reason - Why it has failed.
   */
  noteFailure(reason: string): void {
    const { clock, events, topic, partition, term } = this.options;
    const { recordCount, startedAtMs } = this;
    this.attemptCount += 1;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.loggedAtMs < INTERVAL_MS) return;
    this.loggedAtMs = nowMs;
    const { attemptCount } = this;
    const forMs = Math.round(nowMs - startedAtMs);
    const fields = { topic, partition, term, recordCount, attemptCount, forMs, reason };
    events.write('appendHeld', fields);
  }
}
