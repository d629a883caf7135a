import type { EndedTaskReport, RunningTaskReport } from '../../src/targets/index.js';

/** Calls a function after some milliseconds; what it returns cancels the call. */
export type CallLater = (afterMs: number, run: () => void) => () => void;

/** What one target runs and has to tell. */
export class HeldTarget {
  /** Tasks that run, by their names. */
  readonly running = new Map<string, RunningTaskReport>();

  /** Ends that nobody has acknowledged. */
  ended: readonly EndedTaskReport[] = [];

  private readonly callLater: CallLater;

  private lastEndNumber = 0;

  /** Answers the renewal that is held back; absent where none is. */
  private answer: (() => void) | undefined;

  /**
   * Creates a target without tasks.
   * @param callLater - Calls a function later.
   */
  constructor(callLater: CallLater) {
    this.callLater = callLater;
  }

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
      const cancel = this.callLater(waitMs, resolve);
      this.answer = () => {
        cancel();
        resolve();
      };
    });
  }
}
