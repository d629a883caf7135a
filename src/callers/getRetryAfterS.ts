import { ERROR_ANSWERS, type RattanliftError } from '../errors/index.js';

const MS_PER_S = 1000;
const MIN_RETRY_AFTER_S = 1;

/**
 * Gets the value of `Retry-After` for an error.
 * @param error - The error.
 * @param nowMs - Wall-clock time in milliseconds since the Unix epoch.
 * @returns Whole seconds, from the error's own time to come back if it has one; undefined where a
 * retry cannot help.
 */
export function getRetryAfterS(error: RattanliftError, nowMs: number): number | undefined {
  if (error.retryAtMs === undefined) return ERROR_ANSWERS[error.kind].retryAfterS;
  return Math.max(MIN_RETRY_AFTER_S, Math.ceil((error.retryAtMs - nowMs) / MS_PER_S));
}
