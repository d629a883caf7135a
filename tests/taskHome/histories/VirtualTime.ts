import type { Clock } from '../../../src/utils/index.js';

/** What a pause may be given besides its length, as in `node:timers/promises`. */
export interface PauseOptions {
  readonly signal?: AbortSignal;
  readonly ref?: boolean;
}

interface Pause {
  readonly atMs: number;
  readonly end: () => void;
}

/** Wall-clock time at the start, in milliseconds since the Unix epoch; any time will do. */
const WALL_START_MS = 1_700_000_000_000;

/** Lets every callback run that needs no further time. */
function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * Time that passes only when it is told to, with the pauses that wait for it.
 *
 * A test puts {@link VirtualTime.sleep} in the place of the `setTimeout` of `node:timers/promises`.
 * Pauses end one at a time, in the order of their times and then of their beginnings, and whatever
 * follows from one has run before the next one ends. So the same calls give the same order of
 * events each time, however busy the machine is.
 */
export class VirtualTime implements Clock {
  private nowMs = 0;

  private pauses: readonly Pause[] = [];

  /** {@inheritDoc Clock.monotonicMs} */
  monotonicMs(): number {
    return this.nowMs;
  }

  /** {@inheritDoc Clock.wallMs} */
  wallMs(): number {
    return WALL_START_MS + this.nowMs;
  }

  /** Begins again at zero; what still waits never goes on. */
  reset(): void {
    this.nowMs = 0;
    this.pauses = [];
  }

  /**
   * Waits until time has been moved on far enough.
   * @param forMs - Length of the pause, in milliseconds.
   * @param value - What the pause resolves to.
   * @param options - Signal that ends the pause early.
   * @returns Resolves at the end of the pause; rejects once the signal is aborted.
   */
  sleep<Value = void>(forMs = 1, value?: Value, options: PauseOptions = {}): Promise<Value> {
    return new Promise((resolve, reject) => {
      const abort = (): void => reject(new Error('The pause was aborted.'));
      options.signal?.addEventListener('abort', abort);
      this.call(forMs, () => {
        options.signal?.removeEventListener('abort', abort);
        resolve(value as Value);
      });
    });
  }

  /**
   * Calls a function later.
   * @param afterMs - When, in milliseconds from now.
   * @param run - The function.
   */
  call(afterMs: number, run: () => void): void {
    const atMs = this.nowMs + Math.max(1, afterMs);
    const place = this.pauses.findLastIndex((pause) => pause.atMs <= atMs);
    this.pauses = this.pauses.toSpliced(place + 1, 0, { atMs, end: run });
  }

  /**
   * Moves time forward.
   * @param byMs - Milliseconds to add.
   * @returns Resolves once everything has run that was due by then.
   */
  async advance(byMs: number): Promise<void> {
    const untilMs = this.nowMs + byMs;
    await settle();
    while (this.pauses.length > 0 && this.pauses[0]!.atMs <= untilMs) {
      const [next, ...others] = this.pauses;
      this.pauses = others;
      this.nowMs = Math.max(this.nowMs, next!.atMs);
      next!.end();
      // eslint-disable-next-line no-await-in-loop -- one pause ends after the other
      await settle();
    }
    this.nowMs = untilMs;
  }
}

/** The time of the tests of one file. */
export const virtualTime = new VirtualTime();
