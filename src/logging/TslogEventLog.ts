import { Logger } from 'tslog';
import { type Clock, SystemClock } from '../utils/index.js';
import { EVENT_CATALOGUE, type EventName } from './EVENT_CATALOGUE.js';
import type { EventFields, EventLog } from './EventLog.js';
import type { LogLevel } from './LogEvent.js';

/** Options of {@link TslogEventLog}. */
export interface TslogEventLogOptions {
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

const TSLOG_LEVELS: Readonly<Record<LogLevel, number>> = { debug: 2, info: 3, warn: 4, error: 5 };

/** Log lines as JSON objects, one a line, through tslog. */
export class TslogEventLog implements EventLog {
  private readonly logger: Logger<unknown>;

  private readonly options: TslogEventLogOptions;

  private readonly clock: Clock;

  /**
   * Creates the log of an instance.
   * @param options - Name, level and destination.
   */
  constructor(options: TslogEventLogOptions) {
    this.options = options;
    this.clock = options.clock ?? new SystemClock();
    this.logger = new Logger({
      type: 'hidden',
      minLevel: TSLOG_LEVELS[options.level],
      hideLogPositionForProduction: true,
      // No line holds a password; to look for one, each line would be copied.
      maskValuesOfKeys: [],
      attachedTransports: [
        ({ _meta, ...line }) =>
          options.writeLine(
            JSON.stringify(line),
            (line as unknown as { readonly event: EventName }).event,
          ),
      ],
    });
  }

  /** {@inheritDoc EventLog.write} */
  write(event: EventName, fields: EventFields = {}): void {
    const { number, level, text } = EVENT_CATALOGUE[event];
    if (TSLOG_LEVELS[level] < TSLOG_LEVELS[this.options.level]) return;
    const { instance, takesEvent } = this.options;
    if (takesEvent?.(event) === false) return;
    const at = new Date(this.clock.wallMs()).toISOString();
    const line = { at, number, event, level, instance, text, ...fields };
    this.logger.log(TSLOG_LEVELS[level], level.toUpperCase(), line);
  }
}
