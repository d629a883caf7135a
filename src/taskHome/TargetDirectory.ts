import { type EventLog, OutageLog } from '../logging/index.js';
import { KeyedFollower, type KeyedLogPort, type KeyedRecord } from '../store/index.js';
import type { TargetEntries, TargetEntry } from './TargetEntry.js';

/** Options of {@link TargetDirectory}. */
export interface TargetDirectoryOptions {
  readonly store: KeyedLogPort;
  readonly topic: string;
  readonly partition: number;
  /** Decodes a target's report; undefined if it cannot be read. */
  readonly decode: (record: KeyedRecord) => TargetEntry | undefined;
  readonly events: EventLog;
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
    const entry = record.value === undefined ? undefined : this.options.decode(record);
    if (entry === undefined) this.entries.delete(record.key);
    else this.entries.set(record.key, entry);
  }
}
