import type { KeyedLogPort, KeyedRecord } from './KeyedLogPort.js';

/** Options of {@link KeyedFollower}. */
export interface KeyedFollowerOptions {
  readonly store: Pick<KeyedLogPort, 'readNewest' | 'readFrom'>;
  readonly topic: string;
  readonly partition: number;
  /** Takes each change of a key, in order; a record without a value drops its key. */
  readonly onRecord: (record: KeyedRecord) => void;
}

/** Follows the newest record of each key of a partition. */
export class KeyedFollower {
  private readonly options: KeyedFollowerOptions;

  private nextOffset: number | undefined;

  private readonly keys = new Set<string>();

  /**
   * Creates a follower that has read nothing.
   * @param options - What to follow, and who takes the changes.
   */
  constructor(options: KeyedFollowerOptions) {
    this.options = options;
  }

  /**
   * Reads what has changed since the last call: everything at first, and after a gap.
   *
   * Guards against entries that are behind: one answer holds a limited number of changes, so a
   * follower that has not read for long goes on until it has met the end.
   * @param waitMs - How long the store may wait for a change, in milliseconds.
   * @throws Error Where the store did not answer; the next call continues behind what was read.
   */
  async read(waitMs: number): Promise<void> {
    let hasMore = await this.readOnce(waitMs);
    // eslint-disable-next-line no-await-in-loop -- an answer tells where the next one begins
    while (hasMore) hasMore = await this.readOnce(0);
  }

  /** Reads one answer's worth of changes; tells whether there are more at this moment. */
  private async readOnce(waitMs: number): Promise<boolean> {
    const { store, topic, partition } = this.options;
    const fromOffset = this.nextOffset;
    if (fromOffset === undefined) {
      await this.reload();
      return false;
    }
    const result = await store.readFrom({ topic, partition, fromOffset, waitMs });
    if (result.type === 'expired') {
      await this.reload();
      return false;
    }
    result.records.forEach((record) => this.take(record));
    this.nextOffset = Math.max(fromOffset, result.nextOffset);
    return result.records.length > 0 && this.nextOffset < result.endOffset;
  }

  /**
   * Reads everything. Records that were dropped from the history took changes with them that this
   * follower has not seen, so keys that are no longer there count as dropped.
   */
  private async reload(): Promise<void> {
    const { store, topic, partition } = this.options;
    const { records, endOffset } = await store.readNewest(topic, partition);
    const present = new Set(records.map(({ key }) => key));
    [...this.keys]
      .filter((key) => !present.has(key))
      .forEach((key) => this.take({ key, value: undefined }));
    records.forEach((record) => this.take(record));
    this.nextOffset = endOffset;
  }

  private take(record: KeyedRecord): void {
    if (record.value === undefined) this.keys.delete(record.key);
    else this.keys.add(record.key);
    this.options.onRecord(record);
  }
}
