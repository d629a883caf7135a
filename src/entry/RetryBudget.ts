/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries that each first attempt earns. */
  readonly earnedPerRequest: number;
  /** Most retries that can be saved up. */
  readonly maxSavedCount: number;
}

/** Bounds retries to a share of the requests, so that failing targets are not flooded. */
export class RetryBudget {
  private readonly options: RetryBudgetOptions;

  private savedCount: number;

  /**
   * Creates a budget with all its savings.
   * @param options - Rate and bound.
   */
  constructor(options: RetryBudgetOptions) {
    this.options = options;
    this.savedCount = options.maxSavedCount;
  }

  /** Notes a first attempt. */
  earn(): void {
    const { earnedPerRequest, maxSavedCount } = this.options;
    this.savedCount = Math.min(maxSavedCount, this.savedCount + earnedPerRequest);
  }

  /**
   * Takes one retry.
   * @returns Whether there was one left.
   */
  spend(): boolean {
    if (this.savedCount < 1) return false;
    this.savedCount -= 1;
    return true;
  }
}
