import { readFileSync, writeFileSync } from 'node:fs';
import type { z } from 'zod';
import { throwError } from '../../src/errors/index.js';
import { type Trace, traceEventSchema, traceHeadSchema } from './Trace.js';

/** Reads one line of a trace. */
function parseLine<Output>(
  schema: z.ZodType<Output>,
  text: string,
  place: { readonly path: string; readonly line: number },
): Output {
  const where = `${place.path}:${place.line}`;
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (thrown) {
    return throwError('bad-request', `${where} is not JSON.`, { cause: thrown as Error });
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  const field = issue?.path.join('.') || 'line';
  return throwError('bad-request', `${where}: ${field}: ${issue?.message}`, { field });
}

/**
 * Reads a recorded trace.
 * @param path - File with one JSON object a line, the head first.
 * @returns The trace.
 * @throws RattanliftError Of kind `bad-request`, naming file, line and field.
 */
export function readTrace(path: string): Trace {
  const [first = '', ...others] = readFileSync(path, 'utf8').trimEnd().split('\n');
  return {
    head: parseLine(traceHeadSchema, first, { path, line: 1 }),
    events: others.map((text, index) =>
      parseLine(traceEventSchema, text, { path, line: index + 2 }),
    ),
  };
}

/**
 * Records a trace.
 * @param path - File to write.
 * @param trace - The trace.
 */
export function writeTrace(path: string, trace: Trace): void {
  const lines = [trace.head, ...trace.events].map((line) => JSON.stringify(line));
  writeFileSync(path, `${lines.join('\n')}\n`);
}
