import { setTimeout as sleep } from 'node:timers/promises';
import { throwError } from '../errors/index.js';
import type { PeerReply } from '../peers/index.js';

/**
 * Waits for the reply of the home on this instance no longer than for that of another instance.
 *
 * A submission or a cancel waits for the store there, and an append is repeated until the store
 * answers. The home goes on with the request, and its late reply is ignored, as that of a peer is.
 * @param reply - The reply, for which the home may wait without end.
 * @param waitMs - Longest wait, in milliseconds.
 * @returns The reply.
 * @throws RattanliftError Of kind `peer-unavailable` if there is none in time.
 */
export async function callWithin(reply: Promise<PeerReply>, waitMs: number): Promise<PeerReply> {
  const waiting = new AbortController();
  const { signal } = waiting;
  // The wait rejects when it is aborted, which only means that the reply has come first.
  const silence = sleep(waitMs, undefined, { signal }).catch(() => undefined);
  try {
    const inTime = await Promise.race([reply, silence]);
    if (inTime !== undefined) return inTime;
    return throwError('peer-unavailable', 'The home on this instance did not reply in time.');
  } finally {
    waiting.abort();
  }
}
