import type { FastifyError } from 'fastify';
import { RattanliftError, type ErrorKind } from '../errors/index.js';

/**
 * An error on the way to its answer.
 * @internal
 */
export interface RequestError {
  readonly error: RattanliftError;
  /** Status in place of the kind's. */
  readonly httpStatus?: number;
  /** Whether the error is a fault of this program rather than of the request. */
  readonly isUnexpected: boolean;
}

interface KnownFault {
  readonly kind: ErrorKind;
  readonly field: string;
}

/** What the HTTP library itself finds wrong, by its codes. */
const LIBRARY_FAULTS: Readonly<Record<string, KnownFault>> = {
  FST_ERR_CTP_BODY_TOO_LARGE: { kind: 'body-too-large', field: 'body' },
  FST_ERR_CTP_INVALID_CONTENT_LENGTH: { kind: 'bad-request', field: 'Content-Length' },
  FST_ERR_CTP_INVALID_MEDIA_TYPE: { kind: 'bad-request', field: 'Content-Type' },
  FST_ERR_BAD_URL: { kind: 'bad-request', field: 'path' },
  FST_ERR_MAX_PARAM_LENGTH: { kind: 'bad-request', field: 'path' },
};
const OTHER_FAULT: KnownFault = { kind: 'bad-request', field: 'request' };

/**
 * Tells what an error in handling a request means to its caller.
 * @param thrown - What was thrown.
 * @returns The error of a kind; what is unexpected tells the caller no particulars.
 * @internal
 */
export function toRequestError(thrown: Error): RequestError {
  if (thrown instanceof RattanliftError) {
    return { error: thrown, isUnexpected: thrown.kind === 'internal' };
  }
  const { statusCode = 500, code } = thrown as FastifyError;
  if (statusCode < 400 || statusCode >= 500) {
    const message = 'The daemon failed unexpectedly.';
    return { error: new RattanliftError({ kind: 'internal', message }), isUnexpected: true };
  }
  const { kind, field } = LIBRARY_FAULTS[code] ?? OTHER_FAULT;
  const error = new RattanliftError({ kind, message: thrown.message, field });
  return { error, httpStatus: statusCode, isUnexpected: false };
}
