import { UsageError } from './UsageError.js';

/**
 * Reads a whole number from a flag.
 * @param flag - Name of the flag, for the message.
 * @param value - Value as typed.
 * @returns The number, 0 or more.
 * @throws UsageError Where it is none.
 */
export function parseWholeNumberOrThrow(flag: string, value: string): number {
  const parsed = /^\d+$/.test(value) ? Number(value) : Number.NaN;
  if (Number.isSafeInteger(parsed)) return parsed;
  throw new UsageError(`--${flag} is a whole number, and not "${value}".`);
}
