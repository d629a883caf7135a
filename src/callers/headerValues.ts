import { throwError } from '../errors/index.js';
import type { Urgency } from '../settings/index.js';

const NAME = /^[a-z][a-z0-9-]{0,62}$/;
const REQUEST_ID = /^[A-Za-z0-9._:-]{1,128}$/;
const INTEGER = /^[0-9]{1,15}$/;
const DECIMAL = /^[0-9]{1,9}(\.[0-9]{1,3})?$/;
const URGENCIES: readonly Urgency[] = ['urgent', 'normal', 'overnight'];
const MAX_DEADLINE_AHEAD_MS = 24 * 60 * 60 * 1000;

function throwBadValue(field: string, value: string, expected: string): never {
  return throwError('bad-request', `${field} is ${JSON.stringify(value)}; expected ${expected}.`, {
    field,
  });
}

/**
 * Tells whether a text can be a request's id.
 * @param value - The text.
 * @returns Whether it has the form.
 */
export function isRequestId(value: string): boolean {
  return REQUEST_ID.test(value);
}

/**
 * Checks a request id.
 * @param field - Name of the header.
 * @param value - Its value.
 * @returns The id.
 * @throws RattanliftError Of kind `bad-request`.
 */
export function parseRequestId(field: string, value: string): string {
  if (isRequestId(value)) return value;
  return throwBadValue(field, value, '1 to 128 letters, digits and any of . _ : -');
}

/**
 * Checks a name of a team, pool or kind of job.
 * @param field - Name of the header or path part.
 * @param value - Its value.
 * @returns The name.
 * @throws RattanliftError Of kind `bad-request`.
 */
export function parseName(field: string, value: string): string {
  if (NAME.test(value)) return value;
  return throwBadValue(field, value, 'a lower-case name of letters, digits and hyphens');
}

/**
 * Reads a yes or no.
 * @param field - Name of the header or query parameter.
 * @param value - Its value.
 * @returns The boolean.
 * @throws RattanliftError Of kind `bad-request`.
 */
export function parseBoolean(field: string, value: string): boolean {
  if (value === 'true' || value === 'false') return value === 'true';
  return throwBadValue(field, value, 'true or false');
}

/**
 * Reads how soon a job has to start.
 * @param field - Name of the header.
 * @param value - Its value.
 * @returns The urgency.
 * @throws RattanliftError Of kind `bad-request`.
 */
export function parseUrgency(field: string, value: string): Urgency {
  const urgency = URGENCIES.find((known) => known === value);
  return urgency ?? throwBadValue(field, value, URGENCIES.join(', '));
}

/**
 * Reads a size.
 * @param field - Name of the header.
 * @param value - Its value.
 * @returns The size, above 0.
 * @throws RattanliftError Of kind `bad-request`.
 */
export function parseSize(field: string, value: string): number {
  const size = DECIMAL.test(value) ? Number(value) : 0;
  return size > 0 ? size : throwBadValue(field, value, 'a decimal number above 0');
}

/**
 * Reads a deadline.
 * @param field - Name of the header.
 * @param value - Its value.
 * @param nowMs - Wall-clock time.
 * @returns Milliseconds since the Unix epoch.
 * @throws RattanliftError Of kind `bad-request`, or `deadline-past`.
 */
export function parseDeadline(field: string, value: string, nowMs: number): number {
  if (!INTEGER.test(value)) {
    throwBadValue(field, value, 'whole milliseconds since the Unix epoch');
  }
  const deadlineAtMs = Number(value);
  if (deadlineAtMs <= nowMs) {
    throwError('deadline-past', `${field} passed ${Math.ceil(nowMs - deadlineAtMs)} ms ago.`, {
      field,
    });
  }
  if (deadlineAtMs - nowMs > MAX_DEADLINE_AHEAD_MS) {
    throwBadValue(field, value, 'a time within the next 24 hours');
  }
  return deadlineAtMs;
}
