import type { KeyedLogPort, KeyedRecord } from './KeyedLogPort.js';

/** Options of {@link KeyedFollower}. */
export interface KeyedFollowerOptions {
  readonly store: Pick<KeyedLogPort, 'readNewest' | 'readFrom'>;
  readonly topic: string;
  readonly partition: number;
  /** Takes each change of a key, in order; a record without a value drops its key. */
  readonly onRecord: (record: KeyedRecord) => void;
  /** Changes from which on a follower that is behind reads everything anew. */
  readonly maxBehindCount?: number;
}

/**
 * Changes from which on a follower that is behind reads everything anew: four answers. Targets
 * report every 1.5 s, so after a minute 350 of them have written 14,000 records, which take seconds
 * on a narrow link while a partition waits for its home.
 */
const DEFAULT_MAX_BEHIND_COUNT = 4_096;

/** A reading of everything that is not at its end. */
interface Reload {
  /** End of the partition before the first page; what came later is read again from here. */
  readonly endOffset: number;
  readonly records: readonly KeyedRecord[];
  readonly afterKey: string | undefined;
}

/** Follows the newest record of each key of a partition. */
export class KeyedFollower {
  private readonly options: KeyedFollowerOptions;

  private nextOffset: number | undefined;

  /** Pages that an attempt has read which did not come to their end. */
  private reload: Reload | undefined;

  private readonly keys = new Set<string>();

  /**
   * Creates a follower that has read nothing.
   * @param options - What to follow, and who takes the changes.
   */
  constructor(options: KeyedFollowerOptions) {
    this.options = options;
  }

  /** Offset up to which every change has been taken; undefined before everything was read once. */
  get endOffset(): number | undefined {
    return this.nextOffset;
  }

  /**
   * Reads what has changed since the last call: everything at first, and after a gap.
   *
   * Guards against entries that are behind: one answer holds a limited number of changes, so a
   * follower that has not read for long goes on until it has met the end.
   * @param waitMs - How long the store may wait for a change, in milliseconds.
   * @throws Error Where the store did not answer; the next call continues where this one ended.
   */
  async read(waitMs: number): Promise<void> {
    let hasMore = await this.readOnce(waitMs);
    // eslint-disable-next-line no-await-in-loop -- an answer tells where the next one begins
    while (hasMore) hasMore = await this.readOnce(0);
  }

  /** Reads one answer's worth of changes; tells whether there are more at this moment. */
  private async readOnce(waitMs: number): Promise<boolean> {
    const { store, topic, partition, maxBehindCount } = this.options;
    const fromOffset = this.nextOffset;
    if (fromOffset === undefined) {
      await this.readAll();
      return true;
    }
    const maxCount = maxBehindCount;
    const result = await store.readFrom({ topic, partition, fromOffset, waitMs, maxCount });
    if (result.type === 'expired') {
      this.nextOffset = undefined;
      return true;
    }
    result.records.forEach((record) => this.take(record));
    this.nextOffset = Math.max(fromOffset, result.nextOffset);
    // The newest records are far fewer than all that were written meanwhile.
    if (result.endOffset - this.nextOffset > (maxBehindCount ?? DEFAULT_MAX_BEHIND_COUNT)) {
      this.nextOffset = undefined;
      return true;
    }
    return result.records.length > 0 && this.nextOffset < result.endOffset;
  }

  /**
   * Reads everything, page by page. Records that were dropped from the history took changes with
   * them that this follower has not seen, so keys that are no longer there count as dropped.
   *
   * Guards against a reading that never ends: where one page in several fails, an attempt from the
   * first page on would fail as well, again and again. Pages that were read are kept; what changes
   * meanwhile is read from the end that the first page told.
   */
  private async readAll(): Promise<void> {
    let isWhole = false;
    while (!isWhole) {
      // eslint-disable-next-line no-await-in-loop -- a page tells where the next one begins
      isWhole = await this.readPage();
    }
    const { records, endOffset } = this.reload!;
    this.reload = undefined;
    const present = new Set(records.map(({ key }) => key));
    [...this.keys]
      .filter((key) => !present.has(key))
      .forEach((key) => this.take({ key, value: undefined }));
    records.forEach((record) => this.take(record));
    this.nextOffset = endOffset;
  }

  /** Reads the next page; tells whether it was the last. */
  private async readPage(): Promise<boolean> {
    const { store, topic, partition } = this.options;
    const page = await store.readNewest(topic, partition, this.reload?.afterKey);
    this.reload = {
      endOffset: this.reload?.endOffset ?? page.endOffset,
      records: [...(this.reload?.records ?? []), ...page.records],
      afterKey: page.nextAfterKey,
    };
    return page.nextAfterKey === undefined;
  }

  private take(record: KeyedRecord): void {
    if (record.value === undefined) this.keys.delete(record.key);
    else this.keys.add(record.key);
    this.options.onRecord(record);
  }
}
