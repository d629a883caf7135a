import { z } from 'zod';
import { throwError } from '../errors/index.js';

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch (thrown) {
    return throwError('bad-request', `The body is not JSON: ${String(thrown)}`, { field: 'body' });
  }
}

/**
 * Reads a JSON body that a caller sends.
 * @param schema - What it has to be.
 * @param body - The bytes.
 * @returns The checked content.
 * @throws RattanliftError Of kind `bad-request` with every problem, and the first field at fault.
 */
export function parseJsonBody<Schema extends z.ZodType>(
  schema: Schema,
  body: Buffer,
): z.output<Schema> {
  const result = schema.safeParse(parseJson(body));
  if (result.success) return result.data;
  const field = result.error.issues[0]?.path.join('.');
  return throwError('bad-request', z.prettifyError(result.error), { field });
}
