/** Severity of a log event. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** A numbered kind of log line. */
export interface LogEvent {
  /** Number of the event, never given to another one. */
  readonly number: number;
  readonly level: LogLevel;
  /** What has happened, in a sentence; the fields give the particulars. */
  readonly text: string;
}
