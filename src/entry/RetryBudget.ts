/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries that each first attempt adds to the budget. */
  readonly earnedPerRequest: number;
  /** Maximum number of retries in the budget. */
  readonly maxSavedCount: number;
}

/** Limits retries to a share of the requests, so that failing targets are not overloaded. */
export class RetryBudget {
  private readonly options: RetryBudgetOptions;

  private savedCount: number;

  /**
   * Creates a full budget.
   * @param options - Rate and maximum.
   */
  constructor(options: RetryBudgetOptions) {
    this.options = options;
    this.savedCount = options.maxSavedCount;
  }

  /** Adds the share of a first attempt to the budget. */
  earn(): void {
    const { earnedPerRequest, maxSavedCount } = this.options;
    this.savedCount = Math.min(maxSavedCount, this.savedCount + earnedPerRequest);
  }

  /**
   * Takes one retry.
   * @returns Whether a retry was available.
   */
  spend(): boolean {
    if (this.savedCount < 1) return false;
    this.savedCount -= 1;
    return true;
  }
}
