import type { LogRecord } from '../records/index.js';
import type { WriteResult } from './WriteResult.js';

/** Options of {@link PendingWrite}. */
export interface PendingWriteOptions {
  readonly record: LogRecord;
  /** Whether to give up at once when the log is out and nothing was sent. */
  readonly failsFast: boolean;
  readonly waitMs: number;
  readonly onExpired: (pending: PendingWrite) => void;
}

/** One record on its way to the log and back. */
export class PendingWrite {
  readonly record: LogRecord;

  readonly failsFast: boolean;

  /** Size of the record as JSON. */
  readonly sizeBytes: number;

  readonly result: Promise<WriteResult>;

  private readonly timer: NodeJS.Timeout;

  private resolve!: (result: WriteResult) => void;

  private isSent = false;

  /**
   * Begins the wait for a record's verdict.
   * @param options - Record and limits.
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

  /** Whether the record may stand on the log. */
  get mayStand(): boolean {
    return this.isSent;
  }

  /** Notes that the record is about to be sent. */
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
   * Ends the wait without a verdict: what was sent may stand on the log, the rest does not.
   * @param reason - Why the wait ends.
   */
  giveUp(reason: string): void {
    this.settle({ type: this.isSent ? 'unknown' : 'not-written', reason });
  }
}
