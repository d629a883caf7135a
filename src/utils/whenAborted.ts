/**
 * Waits until a signal is aborted.
 * @param signal - The signal.
 * @returns Resolves once it is aborted; at once if it is already.
 */
export async function whenAborted(signal: AbortSignal): Promise<undefined> {
  if (signal.aborted) return;
  await new Promise<void>((resolve) => {
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}
