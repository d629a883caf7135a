import type { EventName } from '../logging/index.js';

/** A value of a log line's own fields. */
export type FieldValue = string | number | boolean | readonly string[] | object;

/** One line of a daemon's log. */
export interface LogLine {
  /** When it was written, in milliseconds since the Unix epoch, by its writer's clock. */
  readonly atMs: number;
  /** The start of the process that wrote it. */
  readonly instance: string;
  readonly event: EventName;
  readonly text: string;
  /** The event's own fields. */
  readonly fields: Readonly<Record<string, FieldValue>>;
}
