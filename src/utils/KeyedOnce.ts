/** Runs asynchronous actions, never two of the same key at a time. */
export class KeyedOnce {
  private readonly running = new Set<string>();

  /**
   * Starts an action unless one of the same key is under way.
   * @param key - What the action is about.
   * @param action - The action; it has to handle its own errors.
   * @returns Whether the action was started.
   */
  start(key: string, action: () => Promise<void>): boolean {
    if (this.running.has(key)) return false;
    this.running.add(key);
    void action().finally(() => this.running.delete(key));
    return true;
  }

  /** Whether no action is under way. */
  get isIdle(): boolean {
    return this.running.size === 0;
  }

  /**
   * Tells whether an action of a key is under way.
   * @param key - What the action is about.
   * @returns Whether it runs.
   */
  has(key: string): boolean {
    return this.running.has(key);
  }
}
