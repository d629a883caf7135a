import type { EventLog } from '../logging/index.js';
import type { KeyedRecord } from '../store/index.js';

/** The partition that was read, and the log for unreadable records. */
export interface DecodeReadableOptions {
  readonly partition: number;
  readonly events: EventLog;
}

/**
 * Decodes the records of one kind. An unreadable record is logged and skipped, since it must not
 * prevent a partition from having a home.
 * @param records - Records of any kind.
 * @param decode - Decodes a record; returns undefined for other kinds. It may throw.
 * @param options - The partition of the records, and the event log.
 * @returns The values, in the order of their records.
 */
export function decodeReadable<Value>(
  records: readonly KeyedRecord[],
  decode: (record: KeyedRecord) => Value | undefined,
  { partition, events }: DecodeReadableOptions,
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
