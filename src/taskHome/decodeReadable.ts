import type { EventLog } from '../logging/index.js';
import type { KeyedRecord } from '../store/index.js';

/** Where records were read, and where the unreadable ones are told. */
export interface ReadableOptions {
  readonly partition: number;
  readonly events: EventLog;
}

/**
 * Decodes the records of one kind. One that cannot be read is told and passed over: it must not
 * keep a partition without a home.
 * @param records - Records of any kind.
 * @param decode - Decodes one; undefined for one of another kind. It may throw.
 * @param options - Where the records were read.
 * @returns The values, in the order of their records.
 */
export function decodeReadable<Value>(
  records: readonly KeyedRecord[],
  decode: (record: KeyedRecord) => Value | undefined,
  { partition, events }: ReadableOptions,
): readonly Value[] {
  return records.flatMap((record) => {
    try {
      const value = decode(record);
      return value === undefined ? [] : [value];
    } catch (thrown) {
      const { key } = record;
      events.write('recordUnreadable', { key, partition, reason: String(thrown) });
      return [];
    }
  });
}
