import type { Socket } from 'node:net';
import { RattanliftError } from '../errors/index.js';
import { ANSWER_HEADERS } from './callerHeaders.js';
import { createErrorBody } from './createErrorBody.js';

/** Statuses of what the HTTP parser rejects, by its codes. */
const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
};
const DEFAULT_STATUS_LINE = '400 Bad Request';

/**
 * Answers bytes that are no HTTP request, then closes their connection.
 * @param socket - The connection, on which no other answer is due.
 * @param cause - What the HTTP parser found.
 * @param requestId - Id for the answer.
 * @internal
 */
export function answerBrokenRequest(
  socket: Socket,
  cause: NodeJS.ErrnoException,
  requestId: string,
): void {
  const error = new RattanliftError({
    kind: 'bad-request',
    message: `The request is broken: ${cause.message}.`,
    field: 'request',
  });
  const body = createErrorBody({ error, requestId, nowMs: 0 });
  const text = JSON.stringify(body);
  const head = [
    `HTTP/1.1 ${STATUS_LINES[cause.code ?? ''] ?? DEFAULT_STATUS_LINE}`,
    'Content-Type: application/json; charset=utf-8',
    `Content-Length: ${Buffer.byteLength(text)}`,
    'Connection: close',
    `${ANSWER_HEADERS.outcome}: ${body.outcome}`,
    `${ANSWER_HEADERS.requestId}: ${requestId}`,
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${text}`);
}
