import { pipeline } from 'node:stream/promises';
import type { FastifyReply } from 'fastify';
import type { EventLog } from '../logging/index.js';
import { ANSWER_HEADERS } from './callerHeaders.js';
import type { JobAnswer } from './EntryPort.js';

/**
 * Streams a target's answer to its caller.
 *
 * Guards against an answer that ends early and looks complete: a page that stops half-way with
 * status 200. The answer is sent in chunks without a length, and where the target's body fails
 * the connection is broken off before the last chunk, which every HTTP/1.1 client takes for a
 * failure.
 * @param reply - Reply of the request.
 * @param answer - The answer.
 * @param events - Where a broken answer is logged.
 * @internal
 */
export async function sendAnswer(
  reply: FastifyReply,
  answer: Extract<JobAnswer, { readonly type: 'answered' }>,
  events: EventLog | undefined,
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
    await pipeline(answer.body, raw);
  } catch (thrown) {
    answer.body.destroy();
    raw.destroy();
    events?.write('answerCut', { requestId, vm, reason: String(thrown) });
  }
}
