import type { EventLog } from '../logging/index.js';
import type { Clock } from '../utils/index.js';

/** Options of {@link LoadLog}. */
export interface LoadLogOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Gets the processor time used so far, in milliseconds; that of this process if absent. */
  readonly getCpuMs?: () => number;
}

/** Interval between two lines, in milliseconds. */
const LINE_INTERVAL_MS = 1_000;

const MICROSECONDS_PER_MS = 1_000;

function getProcessCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MS;
}

/** Logs once a second how much processor time the process took, and how late its timers were. */
export class LoadLog {
  private readonly options: Required<LoadLogOptions>;

  private loggedAtMs = Number.NEGATIVE_INFINITY;

  private loggedCpuMs = 0;

  private longestDelayMs = 0;

  /**
   * Begins the first interval.
   * @param options - Clock, processor time, and destination of the lines.
   */
  constructor(options: LoadLogOptions) {
    this.options = { getCpuMs: getProcessCpuMs, ...options };
    this.beginInterval(options.clock.monotonicMs());
  }

  /**
   * Notes the delay of a timer, and writes a line where one is due.
   * @param delayMs - How late the timer was, in milliseconds.
   */
  noteDelay(delayMs: number): void {
    const { clock, events, getCpuMs } = this.options;
    const nowMs = clock.monotonicMs();
    this.longestDelayMs = Math.max(this.longestDelayMs, delayMs);
    const forMs = nowMs - this.loggedAtMs;
    if (forMs < LINE_INTERVAL_MS) return;
    events.write('instanceLoad', {
      forMs: Math.round(forMs),
      cpuMs: Math.round(getCpuMs() - this.loggedCpuMs),
      longestDelayMs: Math.round(this.longestDelayMs),
    });
    this.beginInterval(nowMs);
  }

  private beginInterval(nowMs: number): void {
    this.loggedAtMs = nowMs;
    this.loggedCpuMs = this.options.getCpuMs();
    this.longestDelayMs = 0;
  }
}
