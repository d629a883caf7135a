import { z } from 'zod';
import { decodeRecordWithPrefix, encodeRecordValue, type KeyedRecord } from '../store/index.js';
import type { PoolPeak } from '../systems/index.js';

const PREFIX = 'pool-peak/';

const recordSchema = z.looseObject({
  pool: z.string(),
  vmCount: z.number(),
});

/**
 * Encodes the peak VM count of a pool, for the next home of the fleet.
 * @param peak - The peak.
 * @returns Its record.
 */
export function encodePoolPeakRecord(peak: PoolPeak): KeyedRecord {
  return { key: `${PREFIX}${peak.pool}`, value: encodeRecordValue(peak) };
}

/**
 * Decodes the peak VM count of a pool.
 * @param record - A record of the partition of the fleet's home.
 * @returns The peak, or undefined if the record has another type.
 * @throws RattanliftError Of kind `internal` if the record is malformed.
 */
export function decodePoolPeakRecord(record: KeyedRecord): PoolPeak | undefined {
  return decodeRecordWithPrefix(PREFIX, recordSchema, record);
}
