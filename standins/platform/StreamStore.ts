import { setTimeout as sleep } from 'node:timers/promises';
import type { LogEntry, LogReadResult } from '../../src/platform/index.js';
import type { Clock } from '../../src/utils/index.js';

/** How long a stream keeps its records; what is undefined does not limit it. */
export interface Retention {
  readonly keepCount?: number;
  readonly keepMs?: number;
}

interface StoredEntry extends LogEntry {
  readonly appendedAtMs: number;
}

/** One append-only stream with offsets, limited retention and waiting readers. */
export class StreamStore {
  private readonly entries: StoredEntry[] = [];

  private endOffset = 0;

  private retention: Retention;

  private readonly wakeUps = new Set<() => void>();

  private readonly clock: Clock;

  /**
   * Creates an empty stream.
   * @param clock - Source of the records' age.
   * @param retention - How long records are kept.
   */
  constructor(clock: Clock, retention: Retention) {
    this.clock = clock;
    this.retention = retention;
  }

  /**
   * Sets how long records are kept, with effect on those that already stand.
   * @param retention - The new limits.
   */
  setRetention(retention: Retention): void {
    this.retention = retention;
    this.trim();
  }

  /**
   * Appends records and wakes the readers that wait.
   * @param payloads - The records.
   * @returns Offset of the first one.
   */
  append(payloads: readonly unknown[]): number {
    const firstOffset = this.endOffset;
    const appendedAtMs = this.clock.monotonicMs();
    const added = payloads.map((payload, index) => ({
      offset: firstOffset + index,
      payload,
      appendedAtMs,
    }));
    added.forEach((entry) => this.entries.push(entry));
    this.endOffset += added.length;
    this.trim();
    this.wakeReaders();
    return firstOffset;
  }

  /**
   * Reads records that are still kept.
   * @param fromOffset - First offset asked for.
   * @param maxCount - Most records to return.
   * @returns The records, or the first offset that is still kept.
   */
  read(fromOffset: number, maxCount: number): LogReadResult {
    this.trim();
    const firstOffset = this.endOffset - this.entries.length;
    if (fromOffset < firstOffset) return { type: 'truncated', firstOffset };
    const start = fromOffset - firstOffset;
    const entries = this.entries
      .slice(start, start + maxCount)
      .map(({ offset, payload }) => ({ offset, payload }));
    return { type: 'entries', entries, endOffset: this.endOffset };
  }

  /**
   * Waits until a record stands at an offset or the time is up.
   * @param offset - Offset that the reader waits for.
   * @param waitMs - Longest wait, in milliseconds.
   */
  async waitFor(offset: number, waitMs: number): Promise<void> {
    if (offset < this.endOffset || waitMs <= 0) return;
    const timeout = new AbortController();
    const wakeUp = () => timeout.abort();
    this.wakeUps.add(wakeUp);
    await sleep(waitMs, undefined, { signal: timeout.signal }).catch(() => undefined);
    this.wakeUps.delete(wakeUp);
  }

  /** Ends every wait, so that the server can stop. */
  wakeReaders(): void {
    [...this.wakeUps].forEach((wakeUp) => wakeUp());
  }

  private trim(): void {
    const { keepCount = Infinity, keepMs = Infinity } = this.retention;
    const oldestMs = this.clock.monotonicMs() - keepMs;
    const surplusCount = Math.max(0, this.entries.length - keepCount);
    const tooOldCount = this.entries.findIndex((entry) => entry.appendedAtMs >= oldestMs);
    const dropCount = Math.max(surplusCount, tooOldCount < 0 ? this.entries.length : tooOldCount);
    this.entries.splice(0, dropCount);
  }
}
