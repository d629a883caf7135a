/** Options of {@link TokenBucket}. */
export interface TokenBucketOptions {
  /** Actions a second that are allowed in the long run. */
  readonly ratePerS: number;
  /** Actions that are allowed at once after a pause; at least one. */
  readonly burstCount: number;
}

const MS_PER_S = 1_000;

/** Limits the rate of actions, without a timer. */
export class TokenBucket {
  private readonly options: TokenBucketOptions;

  private tokenCount: number;

  /** When the bucket was last filled up to its rate; undefined before the first action. */
  private filledAtMs: number | undefined;

  /**
   * Creates a full bucket.
   * @param options - The rate, and how many actions may come at once.
   */
  constructor(options: TokenBucketOptions) {
    this.options = options;
    this.tokenCount = options.burstCount;
  }

  /**
   * Allows an action, or refuses it.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Whether the action is within the rate.
   */
  take(nowMs: number): boolean {
    const { ratePerS, burstCount } = this.options;
    const gainedCount = ((nowMs - (this.filledAtMs ?? nowMs)) * ratePerS) / MS_PER_S;
    this.tokenCount = Math.min(burstCount, this.tokenCount + gainedCount);
    this.filledAtMs = nowMs;
    if (this.tokenCount < 1) return false;
    this.tokenCount -= 1;
    return true;
  }
}
