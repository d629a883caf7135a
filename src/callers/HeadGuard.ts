import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { findHeadFault } from './findHeadFault.js';

/**
 * Finds requests that must not reach a handler, since a balancer before this instance may read
 * their heads otherwise.
 *
 * Guards against request smuggling: what follows a broken head on its connection may be the body
 * of the broken request, so nothing that comes on that connection later is a request.
 * @internal
 */
export class HeadGuard {
  private readonly brokenSockets = new WeakSet<Socket>();

  /**
   * Checks the head of a request.
   * @param request - The request, as the HTTP parser has read it.
   * @returns What is broken; undefined if the request may be handled.
   */
  check(request: IncomingMessage): string | undefined {
    const { socket } = request;
    if (this.brokenSockets.has(socket)) return 'it follows a broken request';
    const fault = findHeadFault(request);
    if (fault !== undefined) this.brokenSockets.add(socket);
    return fault;
  }
}
