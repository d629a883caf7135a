import type { EventName } from './EVENT_CATALOGUE.js';

/** Fields that every line has; an event's own fields must not replace them. */
type CommonFieldName = 'at' | 'number' | 'event' | 'level' | 'instance' | 'text';

/** Fields of a log line; the names carry their unit. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined | readonly string[]>
> &
  Readonly<Partial<Record<CommonFieldName, never>>>;

/** Where log lines go. */
export interface EventLog {
  /**
   * Writes one line.
   * @param event - Kind of the line.
   * @param fields - Its particulars.
   */
  write(event: EventName, fields?: EventFields): void;
}
