import type { EventLog } from '../logging/index.js';
import type { LogEntry } from '../platform/index.js';
import type { LogRecord } from '../records/index.js';
import type { FleetTables } from '../tables/index.js';
import { applyEntryWithRecord } from './applyEntry.js';
import type { ApplyVerdict } from './ApplyVerdict.js';
import { OfferBuffer } from './OfferBuffer.js';
import { OffsetWaiters, type OffsetWaitOptions } from './OffsetWaiters.js';
import { type RestoreResult, restoreTables } from './snapshot/restoreTables.js';

/** Called for each entry after it was applied; `record` is undefined if it cannot be read. */
export type AppliedListener = (
  entry: LogEntry,
  record: LogRecord | undefined,
  verdict: ApplyVerdict,
) => void;

/** Options of {@link EntryApplier}. */
export interface EntryApplierOptions {
  /** State that only the applier modifies. */
  readonly tables: FleetTables;
  readonly events: EventLog;
}

/** Applies entries to the tables in order and without gaps, and notifies listeners and waiters. */
export class EntryApplier {
  private readonly options: EntryApplierOptions;

  private readonly buffer = new OfferBuffer();

  private readonly waiters = new OffsetWaiters();

  private readonly listeners = new Set<AppliedListener>();

  private readonly restoredListeners = new Set<() => void>();

  private knownEndOffset = 0;

  private areWaitsEnded = false;

  /**
   * Creates an applier without listeners.
   * @param options - State, and event log for rejected records.
   */
  constructor(options: EntryApplierOptions) {
    this.options = options;
  }

  /**
   * Counts the records that are known to be on the log and have not been applied.
   * @returns Number of records.
   */
  getLagCount(): number {
    return Math.max(0, this.knownEndOffset - this.options.tables.nextOffset);
  }

  /**
   * Adds a listener that is called for each applied entry.
   * @param listener - The listener.
   * @returns Function that removes the listener.
   */
  addAppliedListener(listener: AppliedListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Adds a listener that is called after the state was replaced by one from a snapshot or a peer.
   * @param listener - The listener.
   * @returns Function that removes the listener.
   */
  addRestoredListener(listener: () => void): () => void {
    this.restoredListeners.add(listener);
    return () => this.restoredListeners.delete(listener);
  }

  /**
   * Applies entries that were read from the log.
   * @param entries - The entries, in order.
   * @param endOffset - Offset after the last record of the log, as returned by the read.
   */
  applyRead(entries: readonly LogEntry[], endOffset: number): void {
    entries.forEach((entry) => this.apply(entry));
    this.knownEndOffset = Math.max(this.knownEndOffset, endOffset);
    this.applyBuffered();
  }

  /**
   * Accepts entries that a peer has read, in any order, with repetitions or gaps. Entries after a
   * gap are buffered until the missing ones arrive.
   * @param entries - The entries.
   */
  offer(entries: readonly LogEntry[]): void {
    this.buffer.add(entries, this.options.tables.nextOffset);
    this.applyBuffered();
  }

  /**
   * Waits until the record at an offset is applied.
   * @param offset - The offset.
   * @param options - Time limit and abort signal of the wait.
   * @returns Whether the record was applied before the wait ended.
   */
  waitForOffset(offset: number, options: OffsetWaitOptions): Promise<boolean> {
    if (offset < this.options.tables.nextOffset) return Promise.resolve(true);
    if (this.areWaitsEnded) return Promise.resolve(false);
    return this.waiters.wait(offset, options);
  }

  /** Ends all waits as not reached, including later waits for offsets not applied by then. */
  endWaits(): void {
    this.areWaitsEnded = true;
    this.waiters.endAll();
  }

  /**
   * Replaces the tables with the state of a snapshot or a peer, if that state is ahead of them.
   * @param state - The state, possibly written by another program version.
   * @returns Whether the tables were replaced, and if not, why.
   */
  restore(state: unknown): RestoreResult {
    const result = restoreTables(this.options.tables, state);
    if (result.type === 'restored') this.handleRestored();
    return result;
  }

  private handleRestored(): void {
    const { events, tables } = this.options;
    events.write('snapshotLoaded', { nextOffset: tables.nextOffset });
    this.buffer.removeBefore(tables.nextOffset);
    this.restoredListeners.forEach((listener) => listener());
    this.applyBuffered();
  }

  private apply(entry: LogEntry): void {
    const { verdict, record } = applyEntryWithRecord(this.options.tables, entry);
    if (verdict.type === 'stale') return;
    this.knownEndOffset = Math.max(this.knownEndOffset, entry.offset + 1);
    if (verdict.type === 'rejected') {
      const { offset } = entry;
      const { reason } = verdict;
      const fields = { offset, reason, writer: record?.writer, type: record?.body.type };
      this.options.events.write('recordRejected', fields);
    }
    this.listeners.forEach((listener) => listener(entry, record, verdict));
  }

  /** Applies buffered entries up to the next gap and ends the waits that are reached. */
  private applyBuffered(): void {
    const { tables } = this.options;
    let entry = this.buffer.take(tables.nextOffset);
    while (entry !== undefined) {
      this.apply(entry);
      entry = this.buffer.take(tables.nextOffset);
    }
    this.buffer.removeBefore(tables.nextOffset);
    this.waiters.endReached(tables.nextOffset);
  }
}
