import type { ErrorKind } from './ErrorKind.js';
import { RattanliftError, type RattanliftErrorOptions } from './RattanliftError.js';

/**
 * Throws an error of a kind; every other module throws through this function.
 * @param kind - Kind of the error.
 * @param message - What happened, in a sentence for a person.
 * @param details - Field at fault, cause and time to return.
 * @returns Never returns.
 * @throws RattanliftError Always.
 */
export function throwError(
  kind: ErrorKind,
  message: string,
  details: Omit<RattanliftErrorOptions, 'kind' | 'message'> = {},
): never {
  throw new RattanliftError({ kind, message, ...details });
}

/**
 * Turns anything that was thrown into an error of a kind.
 * @param thrown - What a `catch` received.
 * @param kind - Kind for what is not an error of a kind already.
 * @returns The same error, or one of that kind with the thrown value as its cause.
 */
export function toRattanliftError(thrown: unknown, kind: ErrorKind = 'internal'): RattanliftError {
  if (thrown instanceof RattanliftError) return thrown;
  const cause = thrown instanceof Error ? thrown : new Error(String(thrown));
  // VError appends the cause's message to the one given here.
  return new RattanliftError({ kind, message: cause.name, cause });
}
