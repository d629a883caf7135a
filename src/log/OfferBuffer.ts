import type { LogEntry } from '../platform/index.js';

const MAX_AHEAD_COUNT = 5_000;

/** Buffers entries pushed by peers that cannot be applied yet because earlier ones are missing. */
export class OfferBuffer {
  private readonly entries = new Map<number, LogEntry>();

  /**
   * Adds the entries that are not yet applied and within a limited distance of the next offset.
   * @param offered - Entries in any order.
   * @param nextOffset - Offset of the next record to apply.
   */
  add(offered: readonly LogEntry[], nextOffset: number): void {
    offered
      .filter((entry) => entry.offset >= nextOffset)
      .filter((entry) => entry.offset < nextOffset + MAX_AHEAD_COUNT)
      .forEach((entry) => this.entries.set(entry.offset, entry));
  }

  /**
   * Removes an entry from the buffer.
   * @param offset - Offset of the entry.
   * @returns The entry, or undefined if it is not in the buffer.
   */
  take(offset: number): LogEntry | undefined {
    const entry = this.entries.get(offset);
    this.entries.delete(offset);
    return entry;
  }

  /**
   * Removes the entries before an offset, which have been applied from another source.
   * @param nextOffset - Offset of the next record to apply.
   */
  removeBefore(nextOffset: number): void {
    if (this.entries.size === 0) return;
    [...this.entries.keys()]
      .filter((offset) => offset < nextOffset)
      .forEach((offset) => this.entries.delete(offset));
  }
}
