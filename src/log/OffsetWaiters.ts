/** Limits of a wait for an offset. */
export interface OffsetWaitOptions {
  /** Longest wait in milliseconds; no limit without it. */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

/** Callers that wait until an offset is applied. */
export class OffsetWaiters {
  /** Offset that each waiter waits for, by the function that ends its wait. */
  private readonly waiters = new Map<(isReached: boolean) => void, number>();

  /**
   * Waits until an offset is reached.
   * @param offset - The offset.
   * @param options - Limits of the wait.
   * @returns Whether it was reached before the limits ended the wait.
   */
  wait(offset: number, options: OffsetWaitOptions): Promise<boolean> {
    const { signal, waitMs } = options;
    if (signal?.aborted) return Promise.resolve(false);
    return new Promise((resolve) => {
      const limits = new AbortController();
      const settle = (isReached: boolean): void => {
        limits.abort();
        this.waiters.delete(settle);
        resolve(isReached);
      };
      const giveUp = (): void => settle(false);
      const timer = waitMs === undefined ? undefined : setTimeout(giveUp, waitMs);
      limits.signal.addEventListener('abort', () => clearTimeout(timer));
      signal?.addEventListener('abort', giveUp, { signal: limits.signal });
      this.waiters.set(settle, offset);
    });
  }

  /**
   * Tells the waiters how far the state has come.
   * @param nextOffset - Offset of the next record to apply.
   */
  reach(nextOffset: number): void {
    [...this.waiters]
      .filter(([, offset]) => offset < nextOffset)
      .forEach(([settle]) => settle(true));
  }

  /** Ends every wait as not reached. */
  abandon(): void {
    [...this.waiters.keys()].forEach((settle) => settle(false));
  }
}
