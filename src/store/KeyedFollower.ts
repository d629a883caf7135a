import type { KeyedLogPort, KeyedRecord } from './KeyedLogPort.js';

/** Options of {@link KeyedFollower}. */
export interface KeyedFollowerOptions {
  readonly store: Pick<KeyedLogPort, 'readNewest' | 'readFrom'>;
  readonly topic: string;
  readonly partition: number;
  /** Receives each change of a key, in order; a record without a value deletes its key. */
  readonly onRecord: (record: KeyedRecord) => void;
  /** Number of unread changes above which the follower reloads the whole partition. */
  readonly maxLagCount?: number;
}

/**
 * Number of unread changes above which a follower reloads the whole partition: four answers.
 * Targets report every 1.5 s, so 350 targets write 14,000 records in a minute. Reading them takes
 * seconds on a slow link, while a partition waits for its home.
 */
const DEFAULT_MAX_LAG_COUNT = 4_096;

/** Progress of an unfinished reload of the whole partition. */
interface Reload {
  /** End of the partition before the first page; later changes are read from this offset. */
  readonly endOffset: number;
  readonly records: readonly KeyedRecord[];
  readonly afterKey: string | undefined;
}

/** Follows a partition and reports changes of the newest record of each key. */
export class KeyedFollower {
  private readonly options: KeyedFollowerOptions;

  private nextOffset: number | undefined;

  /** Pages that an unfinished reload has read. */
  private reload: Reload | undefined;

  private readonly keys = new Set<string>();

  /**
   * Creates a follower that has read nothing.
   * @param options - The partition to follow and the receiver of its changes.
   */
  constructor(options: KeyedFollowerOptions) {
    this.options = options;
  }

  /** Offset up to which all changes are processed; undefined before the first full read. */
  get endOffset(): number | undefined {
    return this.nextOffset;
  }

  /**
   * Reads the changes since the last call. The first call, and a call after a gap, reads the whole
   * partition.
   *
   * Guards against entries that lag behind: an answer holds a limited number of changes, so a
   * follower that has not read for a long time continues until it reaches the end.
   *
   * Guards also against a read that never returns, which shows as a partition without a home: the
   * end moves on while changes are read, on a narrow link as fast as they arrive. So the read
   * returns at the end that its first answer named; later changes are left to the next call.
   * @param waitMs - Longest time that the store may wait for a change, in milliseconds.
   * @throws Error If the store does not answer; the next call continues where this one stopped.
   */
  async read(waitMs: number): Promise<void> {
    let goalOffset = await this.readOnce(waitMs);
    while (!this.hasReached(goalOffset)) {
      // eslint-disable-next-line no-await-in-loop -- each answer gives the offset of the next one
      goalOffset = Math.min(goalOffset, await this.readOnce(0));
    }
  }

  /**
   * Reads the changes up to an offset; nothing is asked for if they have been read.
   * @param endOffset - End of the partition, which no longer grows.
   * @throws Error If the store does not answer; the next call continues where this one stopped.
   */
  async readTo(endOffset: number): Promise<void> {
    // eslint-disable-next-line no-await-in-loop -- each answer gives the offset of the next one
    while (!this.hasReached(endOffset)) await this.readOnce(0);
  }

  private hasReached(offset: number): boolean {
    return this.nextOffset !== undefined && this.nextOffset >= offset;
  }

  /**
   * Reads the changes of one answer, or the whole partition. Returns the offset at which a call may
   * stop: infinite as long as the end of the partition is not known.
   */
  private async readOnce(waitMs: number): Promise<number> {
    const { store, topic, partition, maxLagCount: maxLag } = this.options;
    const fromOffset = this.nextOffset;
    if (fromOffset === undefined) {
      await this.readAll();
      return Infinity;
    }
    const maxCount = maxLag;
    const result = await store.readFrom({ topic, partition, fromOffset, waitMs, maxCount });
    if (result.type === 'expired') {
      this.nextOffset = undefined;
      return Infinity;
    }
    const { records, endOffset } = result;
    records.forEach((record) => this.apply(record));
    this.nextOffset = Math.max(fromOffset, result.nextOffset);
    // A reload is shorter: the newest records are far fewer than the unread changes.
    const isFarBehind = endOffset - this.nextOffset > (maxLag ?? DEFAULT_MAX_LAG_COUNT);
    if (isFarBehind) this.nextOffset = undefined;
    return records.length === 0 && !isFarBehind ? fromOffset : endOffset;
  }

  /**
   * Reads the whole partition, page by page. Expired records may include deletions that this
   * follower has not seen, so keys that are absent from the pages are reported as deleted.
   *
   * Guards against a reload that never finishes: if one page in several fails, every attempt that
   * starts from the first page fails as well. Pages that were read are therefore kept. Changes that
   * happen meanwhile are read from the end offset that the first page reported.
   */
  private async readAll(): Promise<void> {
    let isComplete = false;
    while (!isComplete) {
      // eslint-disable-next-line no-await-in-loop -- each page gives the start of the next one
      isComplete = await this.readPage();
    }
    const { records, endOffset } = this.reload!;
    this.reload = undefined;
    const present = new Set(records.map(({ key }) => key));
    [...this.keys]
      .filter((key) => !present.has(key))
      .forEach((key) => this.apply({ key, value: undefined }));
    records.forEach((record) => this.apply(record));
    this.nextOffset = endOffset;
  }

  /** Reads the next page; returns whether it is the last one. */
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

  private apply(record: KeyedRecord): void {
    if (record.value === undefined) this.keys.delete(record.key);
    else this.keys.add(record.key);
    this.options.onRecord(record);
  }
}
