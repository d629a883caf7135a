import type { z } from 'zod';
import { throwError } from '../errors/index.js';

/**
 * Checks a part of a request.
 * @param schema - What it has to be.
 * @param part - Body, query or parameters as received.
 * @returns The checked part.
 * @throws RattanliftError Of kind `bad-request`, naming the first field at fault.
 */
export function parseRequestOrThrow<Schema extends z.ZodType>(
  schema: Schema,
  part: unknown,
): z.output<Schema> {
  const result = schema.safeParse(part);
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  const unknownKeys = issue?.code === 'unrecognized_keys' ? issue.keys : [];
  const field = [...(issue?.path ?? []), ...unknownKeys.slice(0, 1)].map(String).join('.');
  return throwError('bad-request', `The request's ${field || 'body'}: ${issue?.message}.`, {
    field: field || 'body',
  });
}
