import type { LogRecord } from '../records/index.js';
import type { WriteResult } from './WriteResult.js';

/** Options of {@link PendingWrite}. */
export interface PendingWriteOptions {
  readonly record: LogRecord;
  /** Whether to give up at once if the log is unavailable and the record was never sent. */
  readonly failsFast: boolean;
  readonly waitMs: number;
  readonly onExpired: (pending: PendingWrite) => void;
}

/** Write of one record that waits for its verdict. */
export class PendingWrite {
  readonly record: LogRecord;

  readonly failsFast: boolean;

  /** Size of the record as JSON, in bytes. */
  readonly sizeBytes: number;

  readonly result: Promise<WriteResult>;

  private readonly timer: NodeJS.Timeout;

  private resolve!: (result: WriteResult) => void;

  private isSent = false;

  /**
   * Starts the wait for the verdict on a record.
   * @param options - Record, time limit and expiry callback.
   */
  constructor(options: PendingWriteOptions) {
    this.record = options.record;
    this.failsFast = options.failsFast;
    this.sizeBytes = Buffer.byteLength(JSON.stringify(options.record));
    this.result = new Promise((resolve) => {
      this.resolve = resolve;
    });
    this.timer = setTimeout(() => options.onExpired(this), options.waitMs);
  }

  /** Whether the record was sent, so it may be on the log. */
  get mayBeOnLog(): boolean {
    return this.isSent;
  }

  /** Marks the record as sent; called before the append. */
  markSent(): void {
    this.isSent = true;
  }

  /**
   * Ends the wait with a verdict.
   * @param result - The verdict.
   */
  settle(result: WriteResult): void {
    clearTimeout(this.timer);
    this.resolve(result);
  }

  /**
   * Ends the wait without a verdict: as `unknown` if the record was sent, since it may be on the
   * log, or else as `not-written`.
   * @param reason - Why the wait ends.
   */
  giveUp(reason: string): void {
    this.settle({ type: this.isSent ? 'unknown' : 'not-written', reason });
  }
}
