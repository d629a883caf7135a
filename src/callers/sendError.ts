import type { FastifyReply } from 'fastify';
import { ERROR_ANSWERS, type Outcome, type RattanliftError } from '../errors/index.js';
import { ANSWER_HEADERS } from './callerHeaders.js';
import { createErrorBody } from './createErrorBody.js';

/**
 * Options of {@link sendError}.
 * @internal
 */
export interface SendErrorOptions {
  /** Wall-clock time. */
  readonly nowMs: number;
  /** What became of the request, where more is known than the kind tells. */
  readonly outcome?: Outcome;
  /** Status in place of the kind's. */
  readonly httpStatus?: number;
}

/**
 * Answers a request with an error.
 * @param reply - Reply of the request, whose id is the request's.
 * @param error - The error.
 * @param options - Time and what differs from the table of answers.
 * @internal
 */
export function sendError(
  reply: FastifyReply,
  error: RattanliftError,
  options: SendErrorOptions,
): void {
  const { nowMs, outcome, httpStatus = ERROR_ANSWERS[error.kind].httpStatus } = options;
  const body = createErrorBody({ error, requestId: reply.request.id, nowMs, outcome });
  if (body.retryAfterS !== undefined) void reply.header('Retry-After', String(body.retryAfterS));
  void reply
    .code(httpStatus)
    .header(ANSWER_HEADERS.outcome, body.outcome)
    .header(ANSWER_HEADERS.requestId, body.requestId)
    .type('application/json; charset=utf-8')
    .send(JSON.stringify(body));
}
