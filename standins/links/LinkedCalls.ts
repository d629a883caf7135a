import { setTimeout as sleep } from 'node:timers/promises';
import type { NarrowLink } from './NarrowLink.js';

/** Head of an HTTP request or answer, in bytes. */
const HEAD_BYTES = 200;
/** Packet that opens a connection, or its answer, in bytes. */
const HANDSHAKE_BYTES = 60;

/** A call that goes over a link. */
export interface LinkedCall<Answer> {
  /** Size of the request's body. */
  readonly requestBytes: number;
  /** Carries the call out at the other end of the link. */
  readonly run: () => Promise<Answer>;
  /** Measures the body of an answer, in bytes. */
  readonly measure: (answer: Answer) => number;
  /** Longest wait of the caller for the whole answer, in milliseconds. */
  readonly timeoutMs: number;
}

/** Carries calls over a link: the request, then what the other end does, then the answer. */
export class LinkedCalls {
  private readonly link: NarrowLink;

  /** Open connections without a call; one on which a call was given up is not used again. */
  private freeConnectionCount = 0;

  /**
   * Creates calls over a link.
   * @param link - The link of the instance that calls.
   */
  constructor(link: NarrowLink) {
    this.link = link;
  }

  /**
   * Makes a call. One that its caller gives up is carried out all the same, and uses the link.
   * @param call - The call.
   * @returns The answer.
   * @throws Error If the answer has not arrived in time, or what the other end throws.
   */
  async call<Answer>(call: LinkedCall<Answer>): Promise<Answer> {
    const giveUp = new AbortController();
    const silence = sleep(call.timeoutMs, undefined, { signal: giveUp.signal, ref: false });
    const timeout = silence.then((): never => {
      throw new Error(`No answer over the link in ${call.timeoutMs} ms.`);
    });
    try {
      return await Promise.race([this.carry(call, giveUp.signal), timeout]);
    } finally {
      giveUp.abort();
    }
  }

  private async carry<Answer>(call: LinkedCall<Answer>, isOver: AbortSignal): Promise<Answer> {
    await this.connect();
    // A call that was given up while it waited for its connection is never sent.
    if (isOver.aborted) throw new Error('The call was given up.');
    await this.link.transfer('up', HEAD_BYTES + call.requestBytes);
    const answer = await call.run();
    await this.link.transfer('down', HEAD_BYTES + call.measure(answer));
    if (!isOver.aborted) this.freeConnectionCount += 1;
    return answer;
  }

  /** Takes a free connection or opens one, which needs an answer from the other end. */
  private async connect(): Promise<void> {
    if (this.freeConnectionCount > 0) {
      this.freeConnectionCount -= 1;
      return;
    }
    await this.link.transfer('up', HANDSHAKE_BYTES);
    await this.link.transfer('down', HANDSHAKE_BYTES);
  }
}
