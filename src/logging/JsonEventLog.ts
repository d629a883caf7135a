import { type Clock, SystemClock } from '../utils/index.js';
import { EVENT_CATALOGUE, type EventName } from './EVENT_CATALOGUE.js';
import type { EventFields, EventLog } from './EventLog.js';
import type { LogLevel } from './LogEvent.js';

/** Options of {@link JsonEventLog}. */
export interface JsonEventLogOptions {
  /** Name of the instance, on every line. */
  readonly instance: string;
  /** Least severity that is written. */
  readonly level: LogLevel;
  /** Receives each line, without its line break, and its kind. */
  readonly writeLine: (line: string, event: EventName) => void;
  /** Whether a line of a kind is written at all; absent where each is. */
  readonly takesEvent?: (event: EventName) => boolean;
  readonly clock?: Clock;
}

const SEVERITIES: Readonly<Record<LogLevel, number>> = { debug: 2, info: 3, warn: 4, error: 5 };

/** Log lines as JSON objects, one a line. */
export class JsonEventLog implements EventLog {
  private readonly options: JsonEventLogOptions;

  private readonly clock: Clock;

  /** Middle of the lines of each kind, which is the same in all of them. */
  private readonly middles = new Map<EventName, string>();

  /**
   * Creates the log of an instance.
   * @param options - Name, level and destination.
   */
  constructor(options: JsonEventLogOptions) {
    this.options = options;
    this.clock = options.clock ?? new SystemClock();
  }

  /** {@inheritDoc EventLog.write} */
  write(event: EventName, fields: EventFields = {}): void {
    const { level, writeLine, takesEvent } = this.options;
    if (SEVERITIES[EVENT_CATALOGUE[event].level] < SEVERITIES[level]) return;
    if (takesEvent?.(event) === false) return;
    const at = new Date(this.clock.wallMs()).toISOString();
    const particulars = JSON.stringify(fields).slice(1);
    const separator = particulars.length > 1 ? ',' : '';
    writeLine(`{"at":"${at}",${this.getMiddle(event)}${separator}${particulars}`, event);
  }

  private getMiddle(event: EventName): string {
    const known = this.middles.get(event);
    if (known !== undefined) return known;
    const { number, level, text } = EVENT_CATALOGUE[event];
    const { instance } = this.options;
    const middle = JSON.stringify({ number, event, level, instance, text }).slice(1, -1);
    this.middles.set(event, middle);
    return middle;
  }
}
