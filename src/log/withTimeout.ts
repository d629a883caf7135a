import { throwError } from '../errors/index.js';

/**
 * Waits for a call to the log with a time limit.
 *
 * If a device between the two ends has dropped the state of a connection, a call on it neither
 * returns nor fails. Without this limit, one such call would block everything behind it.
 * @param call - The pending call; a late result is ignored.
 * @param waitMs - Maximum wait, in milliseconds.
 * @returns The result of the call.
 * @throws RattanliftError Of kind `log-unavailable` when the wait ends first.
 */
export async function withTimeout<Result>(call: Promise<Result>, waitMs: number): Promise<Result> {
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
