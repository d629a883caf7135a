import { z } from 'zod';
import { throwError } from '../errors/index.js';
import { cborCodec } from '../utils/index.js';
import type { KeyedRecord } from './KeyedLogPort.js';

/**
 * Encodes the value of a record that this project writes.
 * @param value - The content.
 * @returns The encoded bytes.
 */
export function encodeRecordValue(value: unknown): Uint8Array {
  return cborCodec.encode(value);
}

/**
 * Decodes the value of a record that this project writes.
 * @param schema - Schema of the content.
 * @param record - The record; it must have a value.
 * @returns The validated content.
 * @throws RattanliftError Of kind `internal` if the value does not match the schema.
 */
export function decodeRecordValue<Schema extends z.ZodType>(
  schema: Schema,
  { key, value }: KeyedRecord,
): z.output<Schema> {
  const result = schema.safeParse(cborCodec.decode(value!));
  if (result.success) return result.data;
  return throwError('internal', `Record ${key} is malformed: ${z.prettifyError(result.error)}`);
}

/**
 * Decodes a record if it is of a given kind, which the prefix of its key identifies.
 * @param prefix - Key prefix of the kind.
 * @param schema - Schema of the content.
 * @param record - The record.
 * @returns The validated content, or undefined if the record is of another kind or deleted.
 * @throws RattanliftError Of kind `internal` if the value does not match the schema.
 */
export function decodeRecordWithPrefix<Schema extends z.ZodType>(
  prefix: string,
  schema: Schema,
  record: KeyedRecord,
): z.output<Schema> | undefined {
  if (!record.key.startsWith(prefix) || record.value === undefined) return undefined;
  return decodeRecordValue(schema, record);
}
