import { z } from 'zod';
import { decodeRecordWithPrefix, encodeRecordValue, type KeyedRecord } from '../store/index.js';

/** Stored form of the latest order for a VM; written before the order is issued. */
export interface VmOrderRecord {
  readonly vm: string;
  /** Wave of a maintenance; absent for a move. */
  readonly wave?: number;
  /**
   * Time that holders have waited since the order may last have been issued, in milliseconds, by
   * their monotonic clocks; defaults to 0. The order is at least this old.
   */
  readonly ageMs?: number;
  /** Whether a holder has since waited for the end of the order's lease; defaults to no. */
  readonly isSettled?: boolean;
}

const PREFIX = 'vm-order/';

const recordSchema = z.looseObject({
  vm: z.string(),
  wave: z.number().optional(),
  ageMs: z.number().optional(),
  isSettled: z.boolean().optional(),
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
 * Encodes the removal of the latest order for a VM.
 * @param vm - The VM.
 * @returns The record of the order's key, without a value.
 */
export function encodeVmOrderRemoval(vm: string): KeyedRecord {
  return { key: `${PREFIX}${vm}`, value: undefined };
}

/**
 * Decodes the latest order for a VM.
 * @param record - A record of the partition of the fleet's home.
 * @returns The order, or undefined if the record has another type.
 * @throws RattanliftError Of kind `internal` if the record is malformed.
 */
export function decodeVmOrderRecord(record: KeyedRecord): VmOrderRecord | undefined {
  return decodeRecordWithPrefix(PREFIX, recordSchema, record);
}
