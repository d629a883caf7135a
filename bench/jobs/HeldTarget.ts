import type { EndedTaskReport, RunningTaskReport } from '../../src/targets/index.js';

/** What one target runs and has to tell. */
export class HeldTarget {
  /** Tasks that run, by their names. */
  readonly running = new Map<string, RunningTaskReport>();

  /** Ends that nobody has acknowledged. */
  ended: readonly EndedTaskReport[] = [];

  private lastEndNumber = 0;

  /** Answers the renewal that is held back; absent where none is. */
  private answer: (() => void) | undefined;

  /**
   * Ends a task.
   * @param taskName - Name of the task.
   * @param run - Number of its run.
   */
  end(taskName: string, run: number): void {
    this.running.delete(taskName);
    this.lastEndNumber += 1;
    const ended = { endNumber: this.lastEndNumber, taskName, run, checkpoint: undefined };
    this.ended = [...this.ended, { ...ended, end: 'done' }];
    this.answer?.();
  }

  /**
   * Waits for an end.
   * @param waitMs - Longest wait, in milliseconds.
   * @returns Resolves with the next end, or without one.
   */
  waitForEnd(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.answer = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
