import { z } from 'zod';
import { throwError } from '../errors/index.js';
import { cborCodec } from '../utils/index.js';
import type { KeyedRecord } from './KeyedLogPort.js';

/**
 * Encodes the value of a record of the project's own.
 * @param value - The content.
 * @returns Its bytes.
 */
export function encodeRecordValue(value: unknown): Uint8Array {
  return cborCodec.encode(value);
}

/**
 * Decodes the value of a record of the project's own.
 * @param schema - What the record has to hold.
 * @param record - The record; it has a value.
 * @returns The checked content.
 * @throws RattanliftError Of kind `internal` where the value does not fit.
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
 * Decodes a record where it is of one kind of the project's own, told by its key.
 * @param prefix - What the keys of the kind begin with.
 * @param schema - What a record of the kind has to hold.
 * @param record - The record.
 * @returns The checked content, or undefined where the record is of another kind or removed.
 * @throws RattanliftError Of kind `internal` where the value does not fit.
 */
export function decodeRecordOf<Schema extends z.ZodType>(
  prefix: string,
  schema: Schema,
  record: KeyedRecord,
): z.output<Schema> | undefined {
  if (!record.key.startsWith(prefix) || record.value === undefined) return undefined;
  return decodeRecordValue(schema, record);
}
