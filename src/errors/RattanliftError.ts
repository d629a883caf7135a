import VError from 'verror';
import type { ErrorKind } from './ErrorKind.js';

/** Options of {@link RattanliftError}. */
export interface RattanliftErrorOptions {
  readonly kind: ErrorKind;
  readonly message: string;
  /** Name of the field, header or settings path that is at fault. */
  readonly field?: string;
  /** When to come back, as milliseconds since the Unix epoch. */
  readonly retryAtMs?: number;
  readonly cause?: Error;
}

/** Error of a known kind; the table of answers says what the caller is told. */
export class RattanliftError extends VError {
  readonly kind: ErrorKind;

  readonly field: string | undefined;

  readonly retryAtMs: number | undefined;

  /**
   * Creates an error of a kind.
   * @param options - Kind, message and what is known of the cause.
   */
  constructor(options: RattanliftErrorOptions) {
    super(
      { name: 'RattanliftError', cause: options.cause, info: { kind: options.kind } },
      '%s',
      options.message,
    );
    this.kind = options.kind;
    this.field = options.field;
    this.retryAtMs = options.retryAtMs;
  }
}
