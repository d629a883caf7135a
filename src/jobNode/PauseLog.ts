import type { EventLog } from '../logging/index.js';
import type { Clock } from '../utils/index.js';

/** Options of {@link PauseLog}. */
export interface PauseLogOptions {
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Interval between two checks, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** Delay of a check that is logged, in milliseconds: above that of a busy small instance. */
const LOGGED_DELAY_MS = 500;

/** Logs how long the process did not run: it was stopped, or had no processor time. */
export class PauseLog {
  private readonly options: PauseLogOptions;

  private timer: NodeJS.Timeout | undefined;

  private checkedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Creates a log that checks nothing until it is started.
   * @param options - Clock, and destination of the lines.
   */
  constructor(options: PauseLogOptions) {
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
    const { clock, events } = this.options;
    const nowMs = clock.monotonicMs();
    const delayMs = nowMs - this.checkedAtMs - CHECK_INTERVAL_MS;
    this.checkedAtMs = nowMs;
    if (delayMs >= LOGGED_DELAY_MS) events.write('processPaused', { forMs: Math.round(delayMs) });
  }
}
