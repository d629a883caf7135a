/** One record of a stream with its place. */
export interface LogEntry {
  readonly offset: number;
  readonly payload: unknown;
}

/** Result of a read: entries from the asked offset on, or the news that they are gone. */
export type LogReadResult =
  | {
      readonly type: 'entries';
      readonly entries: readonly LogEntry[];
      /** Offset that the next appended record will get. */
      readonly endOffset: number;
    }
  | {
      /** The asked offset lies before the first one that the log still keeps. */
      readonly type: 'truncated';
      readonly firstOffset: number;
    };

/** Options of {@link LogPort.read}. */
export interface LogReadOptions {
  readonly stream: string;
  readonly fromOffset: number;
  readonly maxCount: number;
  /** How long the service may hold the answer open until there is a record. */
  readonly waitMs: number;
}

/** The platform's append-only log service. */
export interface LogPort {
  /**
   * Appends records in one call.
   * @param stream - Name of the stream.
   * @param payloads - The records, as JSON values.
   * @returns Offset of the first one.
   * @throws RattanliftError Of kind `log-unavailable`; the records may stand on the log anyway.
   */
  append(stream: string, payloads: readonly unknown[]): Promise<number>;

  /**
   * Reads records in order.
   * @param options - Stream, first offset, most records and longest wait.
   * @returns The records, or the news that the offset is no longer kept.
   * @throws RattanliftError Of kind `log-unavailable`.
   */
  read(options: LogReadOptions): Promise<LogReadResult>;
}
