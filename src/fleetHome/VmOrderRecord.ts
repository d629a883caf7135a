import { z } from 'zod';
import { decodeRecordOf, encodeRecordValue, type KeyedRecord } from '../store/index.js';

/** What is stored of the latest order for a VM, before the order is given. */
export interface VmOrderRecord {
  readonly vm: string;
  /** Wall-clock time of the order in milliseconds since the Unix epoch, by its holder's clock. */
  readonly orderedAtMs: number;
  /** Wave of a maintenance; absent for a move. */
  readonly wave?: number;
}

const PREFIX = 'vm-order/';

const recordSchema = z.looseObject({
  vm: z.string(),
  orderedAtMs: z.number(),
  wave: z.number().optional(),
});

/**
 * Encodes the latest order for a VM.
 * @param record - The order.
 * @returns Its record.
 */
export function encodeVmOrderRecord(record: VmOrderRecord): KeyedRecord {
  return { key: `${PREFIX}${record.vm}`, value: encodeRecordValue(record) };
}

/**
 * Decodes the latest order for a VM.
 * @param record - A record of the partition of the fleet's home.
 * @returns The order, or undefined where the record is about something else.
 * @throws RattanliftError Of kind `internal` where it is malformed.
 */
export function decodeVmOrderRecord(record: KeyedRecord): VmOrderRecord | undefined {
  return decodeRecordOf(PREFIX, recordSchema, record);
}
