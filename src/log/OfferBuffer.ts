import type { LogEntry } from '../platform/index.js';

const MAX_AHEAD_COUNT = 5_000;

/** Entries that peers pushed and that cannot be applied yet, because earlier ones are missing. */
export class OfferBuffer {
  private readonly entries = new Map<number, LogEntry>();

  /**
   * Keeps entries that lie ahead, within a bounded distance of what is applied.
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
   * Takes an entry out.
   * @param offset - Its offset.
   * @returns The entry, or undefined where nobody has pushed it.
   */
  take(offset: number): LogEntry | undefined {
    const entry = this.entries.get(offset);
    this.entries.delete(offset);
    return entry;
  }

  /**
   * Drops the entries that were applied some other way.
   * @param nextOffset - Offset of the next record to apply.
   */
  dropBefore(nextOffset: number): void {
    if (this.entries.size === 0) return;
    [...this.entries.keys()]
      .filter((offset) => offset < nextOffset)
      .forEach((offset) => this.entries.delete(offset));
  }
}
