/** A value under a key; without a value the key is dropped. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Uint8Array | undefined;
}

/** A record with its place in its partition. */
export interface StoredRecord extends KeyedRecord {
  readonly offset: number;
}

/** What lets the store reject the appends of a writer that has been replaced. */
export interface AppendFence {
  /** Name of the role that writes; a partition has one writer of a role at a time. */
  readonly producer: string;
  /** Term of the writer; the store rejects lower terms once it has seen a higher one. */
  readonly term: number;
  /** Number of the append within the term; a repeat gets the first answer again. */
  readonly sequence: number;
}

/** Records to add to one partition, all or none. */
export interface AppendRequest {
  readonly topic: string;
  readonly partition: number;
  readonly records: readonly KeyedRecord[];
  readonly fence?: AppendFence;
  /** Appends only if the partition ends here. */
  readonly expectedEndOffset?: number;
  /** Longest wait for the answer, in milliseconds. */
  readonly timeoutMs: number;
}

/** Answer of the store to an append; each one but `appended` means that nothing was added. */
export type AppendResult =
  | { readonly type: 'appended'; readonly endOffset: number }
  | { readonly type: 'end-moved'; readonly endOffset: number }
  | { readonly type: 'fenced' }
  | { readonly type: 'out-of-sequence'; readonly expectedSequence: number | undefined }
  | { readonly type: 'rejected'; readonly reason: string };

/** A page of the newest record of each key of a partition. */
export interface NewestRecords {
  readonly records: readonly StoredRecord[];
  /** End of the partition before the page was read; later records may be among these. */
  readonly endOffset: number;
  /** Key after which the next page begins; undefined after the last one. */
  readonly nextAfterKey: string | undefined;
}

/** Answer to a read from an offset. */
export type ReadResult =
  | {
      readonly type: 'records';
      readonly records: readonly StoredRecord[];
      /** Offset to continue from. */
      readonly nextOffset: number;
      /** End of the partition; where it lies behind the next offset, there is more to read now. */
      readonly endOffset: number;
    }
  | { readonly type: 'expired'; readonly firstOffset: number };

/** Where to read a partition, and how long to wait for a record. */
export interface ReadRequest {
  readonly topic: string;
  readonly partition: number;
  readonly fromOffset: number;
  /** How long the store waits for a record where there is none, in milliseconds. */
  readonly waitMs: number;
  /** Most records of the answer; absent means as many as the store gives at once. */
  readonly maxCount?: number;
}

/**
 * The platform's log as a store of keyed records: the newest record of each key stays, older ones
 * are kept for a limited time.
 */
export interface KeyedLogPort {
  /**
   * Appends records.
   * @param request - What to append, and under which conditions.
   * @returns What the store did.
   * @throws Error Without an answer; the append may take effect, now or later.
   */
  append(request: AppendRequest): Promise<AppendResult>;
  /**
   * Reads a page of the newest record of each key.
   * @param topic - Topic.
   * @param partition - Partition of the topic.
   * @param afterKey - Key after which the page begins, by the page before; absent for the first.
   * @returns The records, the end of the partition, and where the next page begins.
   * @throws Error Without a whole answer.
   */
  readNewest(topic: string, partition: number, afterKey?: string): Promise<NewestRecords>;
  /**
   * Reads the records from an offset on.
   * @param request - Where, and how long to wait.
   * @returns The records, or the first offset that is still kept.
   * @throws Error Without a whole answer.
   */
  readFrom(request: ReadRequest): Promise<ReadResult>;
}
