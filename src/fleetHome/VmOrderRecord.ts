import { z } from 'zod';
import { decodeRecordOf, encodeRecordValue, type KeyedRecord } from '../store/index.js';

/** What is stored of the latest order for a VM, before the order is given. */
export interface VmOrderRecord {
  readonly vm: string;
  /** Wave of a maintenance; absent for a move. */
  readonly wave?: number;
  /** Whether a holder has waited its lease out since; absent counts as no. */
  readonly isSettled?: boolean;
}

const PREFIX = 'vm-order/';

const recordSchema = z.looseObject({
  vm: z.string(),
  wave: z.number().optional(),
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
 * Encodes that of the latest order for a VM nothing is kept.
 * @param vm - The VM.
 * @returns Its key without a value.
 */
export function encodeVmOrderRemoval(vm: string): KeyedRecord {
  return { key: `${PREFIX}${vm}`, value: undefined };
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
