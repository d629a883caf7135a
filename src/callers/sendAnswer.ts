import type { ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import type { FastifyReply } from 'fastify';
import type { EventLog } from '../logging/index.js';
import { ANSWER_HEADERS } from './callerHeaders.js';
import type { JobAnswer } from './EntryPort.js';

/**
 * Options of {@link sendAnswer}.
 * @internal
 */
export interface SendAnswerOptions {
  /** Longest time for which a caller may take nothing of what waits for it, in milliseconds. */
  readonly stallLimitMs: number;
  readonly events: EventLog | undefined;
}

/**
 * Guards against a caller whose connection went silent in the middle of an answer: no reset comes,
 * and TCP would try for a quarter of an hour while the job holds its slot. An answer for which
 * bytes wait that nobody takes is given up; a target that is slow to send leaves none waiting.
 */
function giveUpOnStall(response: ServerResponse, stallLimitMs: number): void {
  response.setTimeout(stallLimitMs, () => {
    if (response.writableLength > 0) response.destroy(new Error('the caller takes nothing'));
  });
}

/**
 * Streams a target's answer to its caller.
 *
 * Guards against an answer that ends early and looks complete: a page that stops half-way with
 * status 200. The answer is sent in chunks without a length, and where the target's body fails
 * the connection is broken off before the last chunk, which every HTTP/1.1 client takes for a
 * failure.
 * @param reply - Reply of the request.
 * @param answer - The answer.
 * @param options - Limit and log.
 * @internal
 */
export async function sendAnswer(
  reply: FastifyReply,
  answer: Extract<JobAnswer, { readonly type: 'answered' }>,
  { stallLimitMs, events }: SendAnswerOptions,
): Promise<void> {
  const { raw } = reply;
  const { vm, requestId } = answer;
  reply.hijack();
  try {
    raw.writeHead(answer.httpStatus, {
      'Content-Type': answer.contentType,
      [ANSWER_HEADERS.outcome]: 'run',
      [ANSWER_HEADERS.requestId]: requestId,
      [ANSWER_HEADERS.vm]: vm,
    });
    giveUpOnStall(raw, stallLimitMs);
    await pipeline(answer.body, raw);
  } catch (thrown) {
    answer.body.destroy();
    raw.destroy();
    events?.write('answerCut', { requestId, vm, reason: String(thrown) });
  }
}
