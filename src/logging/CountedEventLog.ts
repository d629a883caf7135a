import type { Metrics } from '../metrics/index.js';
import type { EventName } from './EVENT_CATALOGUE.js';
import type { EventFields, EventLog } from './EventLog.js';

/** Options of {@link CountedEventLog}. */
export interface CountedEventLogOptions {
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/**
 * Counts each log line by its event before it is written, so that the counts stay whole where lines
 * are left out.
 */
export class CountedEventLog implements EventLog {
  private readonly options: CountedEventLogOptions;

  /**
   * Wraps a log.
   * @param options - The log, and where lines are counted.
   */
  constructor(options: CountedEventLogOptions) {
    this.options = options;
  }

  /** {@inheritDoc EventLog.write} */
  write(event: EventName, fields: EventFields = {}): void {
    this.options.metrics.increment('log_lines', { event });
    this.options.events.write(event, fields);
  }
}
