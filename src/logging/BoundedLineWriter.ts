import { type Clock, waitUntil } from '../utils/index.js';
import type { EventName } from './EVENT_CATALOGUE.js';
import { EVENT_CATALOGUE } from './EVENT_CATALOGUE.js';

/** Options of {@link BoundedLineWriter}. */
export interface BoundedLineWriterOptions {
  /** Writes text without blocking, and calls back once it is written. */
  readonly write: (text: string, onWritten: () => void) => void;
  /** Calls back once at the end of a turn of the event loop, whose lines are written together. */
  readonly afterTurn: (write: () => void) => void;
  readonly clock: Clock;
  /** Most lines a second; what explains failed requests may use all, the rest half of them. */
  readonly maxLinesPerS?: number;
  /** Most bytes that wait for a reader that is slow or does not read. */
  readonly maxWaitingBytes?: number;
  /** Builds the line that tells what was left out, by event. */
  readonly formatLeftOut: (counts: ReadonlyMap<EventName, number>) => string;
}

/** Lines a second: twice what a daemon writes in the heaviest second that was measured. */
const DEFAULT_MAX_LINES_PER_S = 1_000;
/** A few seconds of lines at full rate. */
const DEFAULT_MAX_WAITING_BYTES = 1024 * 1024;
const WINDOW_MS = 1_000;
const WRITTEN_CHECK_MS = 5;
const LINE_BREAK_BYTES = 1;
/** Share of the budget for lines of single tasks. */
const DETAIL_SHARE = 0.5;

/** Events of single tasks: the many lines behind the few that tell a job's story. */
const DETAILS: ReadonlySet<EventName> = new Set<EventName>([
  'taskPlaced',
  'taskEnded',
  'endIgnored',
  'endsStored',
  'startRefused',
  'taskPaced',
  'vmChanged',
  'runLost',
]);

/**
 * Writes log lines within a budget, and never waits for the reader.
 *
 * Guards against a log that stops the service: a full pipe blocks a write, and with it every
 * request, and a rush of lines takes the processor from the work that it tells of. What is left out
 * is counted and told.
 */
export class BoundedLineWriter {
  private readonly options: BoundedLineWriterOptions;

  private waiting: string[] = [];

  private waitingBytes = 0;

  /** Whether waiting lines are about to be written, after this turn or after another write. */
  private isDue = false;

  private windowStartMs = Number.NEGATIVE_INFINITY;

  private lineCount = 0;

  private readonly leftOut = new Map<EventName, number>();

  /**
   * Creates a writer with its whole budget.
   * @param options - Destination and bounds.
   */
  constructor(options: BoundedLineWriterOptions) {
    this.options = options;
  }

  /**
   * Tells whether the budget has room for a line, and counts it as left out otherwise. Asked before
   * a line is formatted: a home in a rush leaves out up to 2,500 lines a second.
   * @param event - Kind of the line.
   * @returns Whether the line is to be written.
   */
  takes(event: EventName): boolean {
    this.startWindow();
    const hasRoom = this.hasBudget(event);
    if (!hasRoom) this.countLeftOut(event);
    return hasRoom;
  }

  /**
   * Writes a line, or counts it as left out.
   * @param line - The line without its line break.
   * @param event - Kind of the line.
   */
  write(line: string, event: EventName): void {
    this.startWindow();
    if (!this.hasBudget(event) || this.isReaderBehind(line.length + LINE_BREAK_BYTES)) {
      this.countLeftOut(event);
      return;
    }
    this.lineCount += 1;
    this.push(line);
  }

  /**
   * Waits until all lines so far are written.
   *
   * Guards against a process that ends before its last lines are written, which tell how it ended.
   * @param maxMs - Longest wait, in milliseconds, as nobody may read.
   */
  async whenWritten(maxMs: number): Promise<void> {
    const { clock } = this.options;
    await waitUntil(() => !this.isDue, {
      clock,
      deadlineMs: clock.monotonicMs() + maxMs,
      checkEveryMs: WRITTEN_CHECK_MS,
    });
  }

  /**
   * Hands over what waits, at the end of the process: no turn of the event loop follows, and the
   * last lines tell why it ends.
   */
  flush(): void {
    const text = this.waiting.join('');
    this.waiting = [];
    if (text !== '') this.options.write(text, () => undefined);
  }

  private countLeftOut(event: EventName): void {
    this.leftOut.set(event, (this.leftOut.get(event) ?? 0) + 1);
  }

  private startWindow(): void {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.windowStartMs < WINDOW_MS) return;
    this.windowStartMs = nowMs;
    this.lineCount = 0;
    if (this.leftOut.size === 0) return;
    const line = this.options.formatLeftOut(this.leftOut);
    if (this.isReaderBehind(line.length + LINE_BREAK_BYTES)) return;
    this.push(line);
    this.leftOut.clear();
  }

  private hasBudget(event: EventName): boolean {
    const { maxLinesPerS = DEFAULT_MAX_LINES_PER_S } = this.options;
    const isDetail = DETAILS.has(event) || EVENT_CATALOGUE[event].level === 'debug';
    const budget = isDetail ? maxLinesPerS * DETAIL_SHARE : maxLinesPerS;
    return this.lineCount < budget;
  }

  private isReaderBehind(byteCount: number): boolean {
    const { maxWaitingBytes = DEFAULT_MAX_WAITING_BYTES } = this.options;
    return this.waitingBytes + byteCount > maxWaitingBytes;
  }

  private push(line: string): void {
    this.waiting.push(`${line}\n`);
    this.waitingBytes += line.length + LINE_BREAK_BYTES;
    if (this.isDue) return;
    this.isDue = true;
    this.options.afterTurn(() => this.writeWaiting());
  }

  private writeWaiting(): void {
    if (this.waiting.length === 0) {
      this.isDue = false;
      return;
    }
    const text = this.waiting.join('');
    this.waiting = [];
    this.options.write(text, () => {
      this.waitingBytes -= text.length;
      this.writeWaiting();
    });
  }
}
