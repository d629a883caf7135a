/** Options of {@link Backoff}. */
export interface BackoffOptions {
  readonly firstMs: number;
  readonly longestMs: number;
}

const GROWTH = 2;

/** Growing pauses between attempts, back to the first one after a success. */
export class Backoff {
  private readonly options: BackoffOptions;

  private nextMs: number;

  /**
   * Creates the pauses.
   * @param options - First and longest pause.
   */
  constructor(options: BackoffOptions) {
    this.options = options;
    this.nextMs = options.firstMs;
  }

  /**
   * Takes the next pause.
   * @returns Its length in milliseconds.
   */
  take(): number {
    const pauseMs = this.nextMs;
    this.nextMs = Math.min(pauseMs * GROWTH, this.options.longestMs);
    return pauseMs;
  }

  /** Begins again with the first pause. */
  reset(): void {
    this.nextMs = this.options.firstMs;
  }
}
