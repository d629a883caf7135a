import type { EventLog } from '../logging/index.js';
import type { Clock } from '../utils/index.js';

/** Options of {@link LoadLog}. */
export interface LoadLogOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Gets the processor time used so far, in milliseconds; that of this process if absent. */
  readonly getCpuMs?: () => number;
}

/** Interval between two checks, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
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

  private timer: NodeJS.Timeout | undefined;

  private checkedAtMs = Number.NEGATIVE_INFINITY;

  private loggedAtMs = Number.NEGATIVE_INFINITY;

  private loggedCpuMs = 0;

  private longestDelayMs = 0;

  /**
   * Creates a log that checks nothing until it is started.
   * @param options - Clock, processor time, and destination of the lines.
   */
  constructor(options: LoadLogOptions) {
    this.options = { getCpuMs: getProcessCpuMs, ...options };
  }

  /** Starts the checks; they do not keep the process from ending. */
  start(): void {
    const nowMs = this.options.clock.monotonicMs();
    this.checkedAtMs = nowMs;
    this.beginInterval(nowMs);
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
  }

  /** Ends the checks. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Notes the delay of this check, and writes a line where one is due. */
  check(): void {
    const { clock, events, getCpuMs } = this.options;
    const nowMs = clock.monotonicMs();
    const delayMs = nowMs - this.checkedAtMs - CHECK_INTERVAL_MS;
    this.longestDelayMs = Math.max(this.longestDelayMs, delayMs);
    this.checkedAtMs = nowMs;
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
