import { throwError } from '../errors/index.js';

/**
 * Waits for a call to the log, but not for ever.
 *
 * A connection that something between the two ends has lost track of never answers and never
 * fails; without this limit one such call would stop everything behind it.
 * @param call - The call under way; its late result is dropped.
 * @param waitMs - Longest wait, in milliseconds.
 * @returns The result of the call.
 * @throws RattanliftError Of kind `log-unavailable` when the wait ends first.
 */
export async function raceTimeout<Result>(call: Promise<Result>, waitMs: number): Promise<Result> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_resolve, fail) => {
    const expire = (): never =>
      throwError('log-unavailable', `The log did not answer within ${waitMs} ms.`);
    timer = setTimeout(() => Promise.resolve().then(expire).catch(fail), waitMs);
  });
  try {
    return await Promise.race([call, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
