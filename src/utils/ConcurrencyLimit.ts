/** Runs asynchronous actions, at most a given number at a time, in the order of their calls. */
export class ConcurrencyLimit {
  private freeCount: number;

  private readonly waiting: (() => void)[] = [];

  /**
   * Creates a limit that nothing uses yet.
   * @param maxCount - Maximum number of actions at a time; at least one.
   */
  constructor(maxCount: number) {
    this.freeCount = maxCount;
  }

  /**
   * Runs an action once fewer actions than the maximum are running.
   * @param action - The action.
   * @returns Its result.
   * @throws What the action throws.
   */
  async run<Result>(action: () => Promise<Result>): Promise<Result> {
    await this.enter();
    try {
      return await action();
    } finally {
      this.leave();
    }
  }

  private async enter(): Promise<void> {
    if (this.freeCount > 0) {
      this.freeCount -= 1;
      return;
    }
    await new Promise<void>((resolve) => {
      this.waiting.push(resolve);
    });
  }

  private leave(): void {
    const next = this.waiting.shift();
    if (next === undefined) this.freeCount += 1;
    else next();
  }
}
