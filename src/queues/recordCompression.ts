import { constants, deflateRawSync, inflateRawSync } from 'node:zlib';
import { memoizeByObject } from '../utils/index.js';

/** Maximum size of an expanded record, in bytes. */
const MAX_RECORD_BYTES = 64 * 1_024 * 1_024;

/**
 * Compresses a record for peers, once for all of them.
 * @param record - The record as operators have published it.
 * @returns The compressed bytes.
 */
export const compressRecord = memoizeByObject((record: Uint8Array): Uint8Array =>
  deflateRawSync(record, { level: constants.Z_BEST_SPEED }),
);

/**
 * Expands a record that a peer has compressed.
 * @param compressed - The compressed bytes.
 * @returns The record.
 * @throws Error If the bytes are not a compressed record, or it is too large.
 */
export function expandRecord(compressed: Uint8Array): Uint8Array {
  return inflateRawSync(compressed, { maxOutputLength: MAX_RECORD_BYTES });
}
