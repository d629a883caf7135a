import type { EventLog } from '../logging/index.js';

/** Delay of a timer that is logged, in milliseconds: above that of a busy small instance. */
const LOGGED_DELAY_MS = 500;

/** Logs how long the process did not run: it was stopped, or had no processor time. */
export class PauseLog {
  private readonly events: EventLog;

  /**
   * Creates a log without lines.
   * @param events - Destination of the lines.
   */
  constructor(events: EventLog) {
    this.events = events;
  }

  /**
   * Writes a line where the process cannot have run.
   * @param delayMs - How late a timer was, in milliseconds.
   */
  noteDelay(delayMs: number): void {
    if (delayMs < LOGGED_DELAY_MS) return;
    this.events.write('processPaused', { forMs: Math.round(delayMs) });
  }
}
