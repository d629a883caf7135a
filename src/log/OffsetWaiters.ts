/** Limits of a wait for an offset. */
export interface OffsetWaitOptions {
  /** Maximum wait in milliseconds; unlimited if undefined. */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

/** Pending waits for offsets to be applied. */
export class OffsetWaiters {
  /** Awaited offsets, keyed by the function that ends the wait. */
  private readonly waiters = new Map<(isReached: boolean) => void, number>();

  /**
   * Waits until the record at an offset is applied.
   * @param offset - The offset.
   * @param options - Time limit and abort signal of the wait.
   * @returns Whether the record was applied before the wait ended.
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
   * Ends the waits for offsets before the next one to apply as reached.
   * @param nextOffset - Offset of the next record to apply.
   */
  endReached(nextOffset: number): void {
    [...this.waiters]
      .filter(([, offset]) => offset < nextOffset)
      .forEach(([settle]) => settle(true));
  }

  /** Ends all waits as not reached. */
  endAll(): void {
    [...this.waiters.keys()].forEach((settle) => settle(false));
  }
}
