import type { PeerReply } from '../peers/index.js';
import type { LogEntry } from '../platform/index.js';

const MAX_ENTRY_COUNT = 2_000;

/** Entries that were applied of late, for peers that cannot reach the log. */
export class RecentEntries {
  private entries: readonly LogEntry[] = [];

  /**
   * Keeps an entry.
   * @param entry - The entry, in the order of its offset.
   */
  add(entry: LogEntry): void {
    const kept = this.entries.length >= 2 * MAX_ENTRY_COUNT ? -MAX_ENTRY_COUNT : 0;
    if (kept !== 0) this.entries = this.entries.slice(kept);
    (this.entries as LogEntry[]).push(entry);
  }

  /**
   * Reads entries in order.
   * @param fromOffset - Offset of the first one.
   * @param maxCount - Most entries to return.
   * @returns The entries, or a refusal where the first one is not kept any more.
   */
  read(fromOffset: number, maxCount: number): PeerReply {
    const first = this.entries[0];
    if (first !== undefined && fromOffset < first.offset) {
      return {
        type: 'refused',
        kind: 'log-unavailable',
        message: 'The entries are not kept here.',
      };
    }
    const start = first === undefined ? 0 : fromOffset - first.offset;
    return { type: 'entries', entries: this.entries.slice(start, start + maxCount) };
  }
}
