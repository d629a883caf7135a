import { type EventLog, OutageLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import { KeyedFollower, type KeyedLogPort, type KeyedRecord } from '../store/index.js';
import { parseLifetimeId } from '../targets/index.js';
import type { TargetEntries, TargetEntry } from './TargetEntry.js';

/** Options of {@link TargetDirectory}. */
export interface TargetDirectoryOptions {
  readonly store: KeyedLogPort;
  readonly topic: string;
  readonly partition: number;
  /**
   * Decodes a target's report.
   * @throws Error If the record is none of a target.
   */
  readonly decode: (record: KeyedRecord) => TargetEntry;
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/**
 * Number of unread reports above which the whole list is read instead. An instance that becomes a
 * home has not followed the list, and renews no lease before it has read it.
 */
const MAX_LAG_COUNT = 512;

/** The targets that report themselves in the platform's store, as of the last refresh. */
export class TargetDirectory {
  private readonly options: TargetDirectoryOptions;

  private readonly follower: KeyedFollower;

  private readonly entries = new Map<string, TargetEntry>();

  /** Ids of the listed lifetimes, by the key of their records. */
  private readonly lifetimes = new Map<string, string>();

  /** Ids of lifetimes that were reported once after a later one, by the key of their records. */
  private readonly reportedOutOfOrder = new Map<string, string>();

  /** Keys whose latest record is none of a target. */
  private readonly unreadableKeys = new Set<string>();

  private readonly outage: OutageLog;

  private pendingRefresh: Promise<void> | undefined;

  /**
   * Creates an empty directory.
   * @param options - The part of the store in which targets report themselves.
   */
  constructor(options: TargetDirectoryOptions) {
    this.options = options;
    this.outage = new OutageLog({
      events: options.events,
      lost: 'targetListUnreachable',
      regained: 'targetListReachable',
    });
    this.follower = new KeyedFollower({
      ...options,
      maxLagCount: MAX_LAG_COUNT,
      onRecord: (record) => this.applyRecord(record),
    });
  }

  /**
   * Lists the targets.
   * @returns The targets by id; the map changes with each refresh.
   */
  list(): TargetEntries {
    return this.entries;
  }

  /**
   * Gets the listed lifetime of a target.
   * @param instance - Id under which the target reports itself.
   * @returns Id of the lifetime; that of the target itself if it is not listed.
   */
  getLifetimeId(instance: string): string {
    return this.lifetimes.get(instance) ?? instance;
  }

  /** Whether the list has been read at least once. */
  get hasBeenRead(): boolean {
    return this.follower.endOffset !== undefined;
  }

  /** Reads the changes since the last refresh; if the store does not answer, the entries stay. */
  refresh(): Promise<void> {
    this.pendingRefresh ??= this.read().finally(() => {
      this.pendingRefresh = undefined;
    });
    return this.pendingRefresh;
  }

  private async read(): Promise<void> {
    try {
      await this.follower.read(0);
      this.outage.noteSuccess({ targetCount: this.entries.size });
    } catch (thrown) {
      this.outage.noteFailure({ reason: String(thrown) });
    }
  }

  private applyRecord(record: KeyedRecord): void {
    const { key, value } = record;
    if (value === undefined) this.unreadableKeys.delete(key);
    const entry = value === undefined ? undefined : this.decode(record);
    if (entry !== undefined && this.isOutOfOrder(key, entry.targetId)) return;
    this.remove(key);
    if (entry === undefined) return;
    this.lifetimes.set(key, entry.targetId);
    this.entries.set(entry.targetId, entry);
  }

  /** Decodes a report; one of another writer names no target, and is logged once for its key. */
  private decode(record: KeyedRecord): TargetEntry | undefined {
    const { key } = record;
    const { decode, events, metrics } = this.options;
    try {
      const entry = decode(record);
      this.unreadableKeys.delete(key);
      return entry;
    } catch (thrown) {
      metrics.increment('target_reports_unreadable');
      if (!this.unreadableKeys.has(key)) {
        events.write('recordUnreadable', { key, reason: String(thrown) });
      }
      this.unreadableKeys.add(key);
      return undefined;
    }
  }

  /**
   * Tells whether a report is of a lifetime that has been replaced. A write that was held up comes
   * late once; a second such report means that the clock of the target has gone back.
   */
  private isOutOfOrder(key: string, targetId: string): boolean {
    const { bornAtMs = -Infinity } = parseLifetimeId(targetId);
    const { bornAtMs: latestBornAtMs = -Infinity } = parseLifetimeId(this.getLifetimeId(key));
    const isFirst = this.reportedOutOfOrder.get(key) !== targetId;
    this.reportedOutOfOrder.delete(key);
    if (bornAtMs >= latestBornAtMs || !isFirst) return false;
    this.reportedOutOfOrder.set(key, targetId);
    return true;
  }

  private remove(key: string): void {
    this.entries.delete(this.getLifetimeId(key));
    this.lifetimes.delete(key);
  }
}
