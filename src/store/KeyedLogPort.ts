/** A key and its value; a record without a value deletes the key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Uint8Array | undefined;
}

/** A record with its offset in the partition. */
export interface StoredRecord extends KeyedRecord {
  readonly offset: number;
}

/** Fencing data with which the store rejects appends of a writer that has been replaced. */
export interface AppendFence {
  /** Name of the writer's role; a partition has at most one writer per role at a time. */
  readonly producer: string;
  /** Term of the writer; the store rejects terms below the highest it has seen. */
  readonly term: number;
  /** Number of the append within the term; a repeat gets the answer of the first attempt. */
  readonly sequence: number;
}

/** Records to append atomically to one partition. */
export interface AppendRequest {
  readonly topic: string;
  readonly partition: number;
  readonly records: readonly KeyedRecord[];
  readonly fence?: AppendFence;
  /** Longest wait for the answer, in milliseconds. */
  readonly timeoutMs: number;
}

/** Result of an append; every type except `appended` means that nothing was appended. */
export type AppendResult =
  | { readonly type: 'appended'; readonly endOffset: number }
  | { readonly type: 'fenced' }
  | { readonly type: 'out-of-sequence'; readonly expectedSequence: number | undefined }
  | { readonly type: 'rejected'; readonly reason: string };

/** A page of a partition's newest records, one for each key. */
export interface NewestRecords {
  readonly records: readonly StoredRecord[];
  /** End of the partition before the page was read; the page may contain later records. */
  readonly endOffset: number;
  /** Key after which the next page begins; undefined on the last page. */
  readonly nextAfterKey: string | undefined;
}

/** Result of a read from an offset. */
export type ReadResult =
  | {
      readonly type: 'records';
      readonly records: readonly StoredRecord[];
      /** Offset from which to continue. */
      readonly nextOffset: number;
      /** End of the partition; if it is above `nextOffset`, more records are available now. */
      readonly endOffset: number;
    }
  | { readonly type: 'expired'; readonly firstOffset: number };

/** Position from which to read a partition, with limits for the answer. */
export interface ReadRequest {
  readonly topic: string;
  readonly partition: number;
  readonly fromOffset: number;
  /** Longest time that the store waits for a record if there is none, in milliseconds. */
  readonly waitMs: number;
  /** Maximum number of records in the answer; if absent, the store's own limit applies. */
  readonly maxCount?: number;
}

/**
 * The platform's log as a store of keyed records. It retains the newest record of each key, and
 * older records for a limited time.
 */
export interface KeyedLogPort {
  /**
   * Appends records.
   * @param request - The records and the conditions of the append.
   * @returns The result of the append.
   * @throws Error If no answer arrives; the append may still take effect, now or later.
   */
  append(request: AppendRequest): Promise<AppendResult>;
  /**
   * Reads a page of the newest records, one for each key.
   * @param topic - Topic.
   * @param partition - Partition of the topic.
   * @param afterKey - `nextAfterKey` of the previous page; absent for the first page.
   * @returns The records, the end of the partition, and the start of the next page.
   * @throws Error If no complete answer arrives.
   */
  readNewest(topic: string, partition: number, afterKey?: string): Promise<NewestRecords>;
  /**
   * Reads the records from an offset onwards.
   * @param request - The position and the limits.
   * @returns The records, or the first retained offset if the requested one has expired.
   * @throws Error If no complete answer arrives.
   */
  readFrom(request: ReadRequest): Promise<ReadResult>;
}
