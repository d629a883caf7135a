import type { EventLog } from '../logging/index.js';
import type { LogEntry } from '../platform/index.js';
import type { LogRecord } from '../records/index.js';
import type { FleetTables } from '../tables/index.js';
import { applyEntryWithRecord } from './applyEntry.js';
import type { ApplyVerdict } from './ApplyVerdict.js';
import { OfferBuffer } from './OfferBuffer.js';
import { OffsetWaiters, type OffsetWaitOptions } from './OffsetWaiters.js';
import { type RestoreResult, restoreTables } from './snapshot/restoreTables.js';

/** Hears of each entry right after it was applied; `record` is undefined where none is readable. */
export type AppliedListener = (
  entry: LogEntry,
  record: LogRecord | undefined,
  verdict: ApplyVerdict,
) => void;

/** Options of {@link EntryApplier}. */
export interface EntryApplierOptions {
  /** State that the applier alone changes. */
  readonly tables: FleetTables;
  readonly events: EventLog;
}

/** Applies entries to the tables in order and without a gap, and tells those who wait for them. */
export class EntryApplier {
  private readonly options: EntryApplierOptions;

  private readonly buffer = new OfferBuffer();

  private readonly waiters = new OffsetWaiters();

  private readonly listeners = new Set<AppliedListener>();

  private readonly restoredListeners = new Set<() => void>();

  private knownEndOffset = 0;

  private areWaitsEnded = false;

  /**
   * Creates an applier that nobody listens to.
   * @param options - State, and where rejected records are told.
   */
  constructor(options: EntryApplierOptions) {
    this.options = options;
  }

  /**
   * Counts the records that stand on the log, as far as is known, and are not applied.
   * @returns Count of records.
   */
  getLagCount(): number {
    return Math.max(0, this.knownEndOffset - this.options.tables.nextOffset);
  }

  /**
   * Adds a listener to each applied entry.
   * @param listener - The listener.
   * @returns Removes it again.
   */
  addAppliedListener(listener: AppliedListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Adds a listener to the replacement of the state by a snapshot.
   * @param listener - The listener.
   * @returns Removes it again.
   */
  addRestoredListener(listener: () => void): () => void {
    this.restoredListeners.add(listener);
    return () => this.restoredListeners.delete(listener);
  }

  /**
   * Applies what was read from the log.
   * @param entries - The entries, in order.
   * @param endOffset - Offset behind the last record of the log, as the read told.
   */
  applyRead(entries: readonly LogEntry[], endOffset: number): void {
    entries.forEach((entry) => this.apply(entry));
    this.knownEndOffset = Math.max(this.knownEndOffset, endOffset);
    this.goOn();
  }

  /**
   * Takes entries that a peer has read: in any order, repeated or with gaps. Those ahead of a gap
   * wait for the missing ones.
   * @param entries - The entries.
   */
  offer(entries: readonly LogEntry[]): void {
    this.buffer.add(entries, this.options.tables.nextOffset);
    this.goOn();
  }

  /**
   * Waits until the record at an offset is applied.
   * @param offset - The offset.
   * @param options - Limits of the wait.
   * @returns Whether it was applied before the limits ended the wait.
   */
  waitForOffset(offset: number, options: OffsetWaitOptions): Promise<boolean> {
    if (offset < this.options.tables.nextOffset) return Promise.resolve(true);
    if (this.areWaitsEnded) return Promise.resolve(false);
    return this.waiters.wait(offset, options);
  }

  /** Ends every wait as not reached, also those to come. */
  endWaits(): void {
    this.areWaitsEnded = true;
    this.waiters.abandon();
  }

  /**
   * Goes on from a state that a snapshot or a peer holds, if it is ahead of what is applied.
   * @param state - The state, possibly written by another program version.
   * @returns Whether the tables were replaced, and why not.
   */
  restore(state: unknown): RestoreResult {
    const result = restoreTables(this.options.tables, state);
    if (result.type === 'restored') this.noteRestored();
    return result;
  }

  private noteRestored(): void {
    const { events, tables } = this.options;
    events.write('snapshotLoaded', { nextOffset: tables.nextOffset });
    this.buffer.dropBefore(tables.nextOffset);
    this.restoredListeners.forEach((listener) => listener());
    this.goOn();
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

  /** Applies the offered entries that are next, and ends the waits that are over by then. */
  private goOn(): void {
    const { tables } = this.options;
    let entry = this.buffer.take(tables.nextOffset);
    while (entry !== undefined) {
      this.apply(entry);
      entry = this.buffer.take(tables.nextOffset);
    }
    this.buffer.dropBefore(tables.nextOffset);
    this.waiters.reach(tables.nextOffset);
  }
}
