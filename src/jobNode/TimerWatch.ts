import type { Clock } from '../utils/index.js';

/** Options of {@link TimerWatch}. */
export interface TimerWatchOptions {
  readonly clock: Clock;
  /** Is told how late each check was, in milliseconds. */
  readonly onDelay: (delayMs: number) => void;
}

/** Interval between two checks, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** Watches how late the timers of the process are. */
export class TimerWatch {
  private readonly options: TimerWatchOptions;

  private timer: NodeJS.Timeout | undefined;

  private checkedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Creates a watch that checks nothing until it is started.
   * @param options - Clock, and who is told of delays.
   */
  constructor(options: TimerWatchOptions) {
    this.options = options;
  }

  /** Starts the checks; they do not keep the process from ending. */
  start(): void {
    this.checkedAtMs = this.options.clock.monotonicMs();
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
  }

  /** Ends the checks. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Compares the time since the last check with the interval. */
  check(): void {
    const { clock, onDelay } = this.options;
    const nowMs = clock.monotonicMs();
    const delayMs = nowMs - this.checkedAtMs - CHECK_INTERVAL_MS;
    this.checkedAtMs = nowMs;
    onDelay(delayMs);
  }
}
