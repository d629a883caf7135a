/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries that each first attempt adds to the budget. */
  readonly retriesPerRequest: number;
  /** Maximum number of retries in the budget. */
  readonly maxRetryCount: number;
}

/** Limits retries to a share of the requests, so that failing targets are not overloaded. */
export class RetryBudget {
  private readonly options: RetryBudgetOptions;

  private availableCount: number;

  /**
   * Creates a full budget.
   * @param options - Rate and maximum.
   */
  constructor(options: RetryBudgetOptions) {
    this.options = options;
    this.availableCount = options.maxRetryCount;
  }

  /** Adds the share of a first attempt to the budget. */
  deposit(): void {
    const { retriesPerRequest, maxRetryCount } = this.options;
    this.availableCount = Math.min(maxRetryCount, this.availableCount + retriesPerRequest);
  }

  /**
   * Takes one retry.
   * @returns Whether a retry was available.
   */
  withdraw(): boolean {
    if (this.availableCount < 1) return false;
    this.availableCount -= 1;
    return true;
  }
}
