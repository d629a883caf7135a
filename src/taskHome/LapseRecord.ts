import { z } from 'zod';
import { decodeRecordValue, encodeRecordValue, type KeyedRecord } from '../store/index.js';

/** By when the lease of a target has certainly ended. */
export interface LeaseLapse {
  readonly targetId: string;
  /** By the monotonic clock of the home that waits for it. */
  readonly lapsedByMs: number;
}

/** Stored form of the lapses that a home waits for; it extends none of these leases meanwhile. */
export interface LapseRecord {
  /** Term of the home. */
  readonly term: number;
  /** When the home recorded the lapses, by its monotonic clock. */
  readonly recordedAtMs: number;
  readonly lapses: readonly LeaseLapse[];
}

const KEY = 'lapses';

const recordSchema = z.looseObject({
  term: z.int(),
  recordedAtMs: z.number(),
  lapses: z.array(z.looseObject({ targetId: z.string(), lapsedByMs: z.number() })),
});

/**
 * Encodes the lapses that a home waits for.
 * @param record - The lapses.
 * @returns The record, which replaces the earlier one; it has no value if there are no lapses.
 */
export function encodeLapseRecord(record: LapseRecord): KeyedRecord {
  const isEmpty = record.lapses.length === 0;
  return { key: KEY, value: isEmpty ? undefined : encodeRecordValue(record) };
}

/**
 * Decodes the lapses that a home waited for.
 * @param record - A record of the partition of the home.
 * @returns The lapses, or undefined if the record has another key.
 * @throws RattanliftError Of kind `internal` if the record is malformed.
 */
export function decodeLapseRecord(record: KeyedRecord): LapseRecord | undefined {
  if (record.key !== KEY || record.value === undefined) return undefined;
  return decodeRecordValue(recordSchema, record);
}
