import {
  ERROR_ANSWERS,
  type ErrorKind,
  type Outcome,
  type RattanliftError,
} from '../errors/index.js';
import { getRetryAfterS } from './getRetryAfterS.js';

/** Body of an answer that tells an error, as JSON. */
export interface ErrorBody {
  readonly kind: ErrorKind;
  readonly outcome: Outcome;
  readonly message: string;
  /** Header, parameter or part of the path that is at fault. */
  readonly field?: string;
  readonly requestId: string;
  /** When to come back; absent where a retry cannot help. */
  readonly retryAfterS?: number;
}

/**
 * Options of {@link createErrorBody}.
 * @internal
 */
export interface ErrorBodyOptions {
  readonly error: RattanliftError;
  readonly requestId: string;
  /** Wall-clock time. */
  readonly nowMs: number;
  /** What became of the request, where more is known than the kind tells. */
  readonly outcome?: Outcome;
}

/**
 * Creates the body that tells a caller of an error.
 * @param options - The error, its request and the time.
 * @returns The body.
 * @internal
 */
export function createErrorBody(options: ErrorBodyOptions): ErrorBody {
  const { error, requestId, nowMs } = options;
  return {
    kind: error.kind,
    outcome: options.outcome ?? ERROR_ANSWERS[error.kind].outcome,
    message: error.message,
    field: error.field,
    requestId,
    retryAfterS: getRetryAfterS(error, nowMs),
  };
}
