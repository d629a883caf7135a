/** Options of {@link Backoff}. */
export interface BackoffOptions {
  readonly firstMs: number;
  readonly longestMs: number;
}

const GROWTH_FACTOR = 2;

/** Exponential backoff between attempts, which starts again after a success. */
export class Backoff {
  private readonly options: BackoffOptions;

  private nextMs: number;

  /**
   * Creates a backoff that starts with the first pause.
   * @param options - First and longest pause.
   */
  constructor(options: BackoffOptions) {
    this.options = options;
    this.nextMs = options.firstMs;
  }

  /**
   * Returns the next pause and doubles the one after it, up to the longest pause.
   * @returns The pause in milliseconds.
   */
  nextPauseMs(): number {
    const pauseMs = this.nextMs;
    this.nextMs = Math.min(pauseMs * GROWTH_FACTOR, this.options.longestMs);
    return pauseMs;
  }

  /** Starts again with the first pause. */
  reset(): void {
    this.nextMs = this.options.firstMs;
  }
}
