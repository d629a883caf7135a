import type { EventName } from './EVENT_CATALOGUE.js';

/** Fields of a log line; the names carry their unit. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined | readonly string[]>
>;

/** Where log lines go. */
export interface EventLog {
  /**
   * Writes one line.
   * @param event - Kind of the line.
   * @param fields - Its particulars.
   */
  write(event: EventName, fields?: EventFields): void;
}
