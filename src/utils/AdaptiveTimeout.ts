import type { Clock } from './Clock.js';
import { followMean } from './followMean.js';

/** Options of {@link AdaptiveTimeout}. */
export interface AdaptiveTimeoutOptions {
  /** Shortest wait, in milliseconds: well above a usual answer. */
  readonly shortestMs: number;
  /** Longest wait, in milliseconds: above the answer of the slowest peer that still works. */
  readonly longestMs: number;
}

/** Waits this many times the usual answer, so that one that is only late is not given up. */
const MARGIN_FACTOR = 4;
/** Weight of a new answer: a peer that turns slow is known after two or three. */
const LEARNING_RATE = 0.4;
const BACKOFF_FACTOR = 2;

/**
 * Chooses how long to wait for an answer before an idempotent call is repeated.
 *
 * Guards against lost answers: a third of them may be lost for seconds, and with a wait that suits
 * a slow peer each loss holds up everything behind the call for as long. The wait follows the
 * answers that come, and doubles with each one that does not, so that a slow peer is called once.
 */
export class AdaptiveTimeout {
  private readonly options: AdaptiveTimeoutOptions;

  private usualMs = 0;

  private failureCount = 0;

  /**
   * Starts with the shortest wait.
   * @param options - Bounds of the wait.
   */
  constructor(options: AdaptiveTimeoutOptions) {
    this.options = options;
  }

  /** How long to wait for the next answer, in whole milliseconds, as timers take nothing else. */
  get currentMs(): number {
    const { shortestMs, longestMs } = this.options;
    const baseMs = Math.max(shortestMs, this.usualMs * MARGIN_FACTOR);
    return Math.ceil(Math.min(longestMs, baseMs * BACKOFF_FACTOR ** this.failureCount));
  }

  /**
   * Makes a call and takes note of its answer or failure.
   * @param clock - Times the answer.
   * @param call - Makes the call, which may wait for as long as it is told, in milliseconds.
   * @returns The answer.
   * @throws What the call throws.
   */
  async run<Answer>(clock: Clock, call: (timeoutMs: number) => Promise<Answer>): Promise<Answer> {
    const sentAtMs = clock.monotonicMs();
    try {
      const answer = await call(this.currentMs);
      this.noteAnswer(clock.monotonicMs() - sentAtMs);
      return answer;
    } catch (thrown) {
      this.noteFailure();
      throw thrown;
    }
  }

  /**
   * Takes note of an answer.
   * @param tookMs - How long it took.
   */
  noteAnswer(tookMs: number): void {
    this.failureCount = 0;
    this.usualMs = followMean(this.usualMs, tookMs, LEARNING_RATE);
  }

  /** Takes note of a call without an answer. */
  noteFailure(): void {
    this.failureCount += 1;
  }
}
