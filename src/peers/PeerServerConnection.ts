import type { Socket } from 'node:net';
import { RattanliftError, throwError, toRattanliftError } from '../errors/index.js';
import type { EventLog } from '../logging/index.js';
import { encodeCbor, MAX_REPLY_BYTES } from './frameCodec.js';
import type { HeartbeatOptions } from './HeartbeatOptions.js';
import { type ConnectionClosure, PeerConnection } from './PeerConnection.js';
import type { PeerFrame } from './PeerFrame.js';
import type { PeerHandler, PeerReply } from './PeerMessage.js';
import { parsePeerRequest } from './peerSchemas.js';

const PART_BYTES = 1024 * 1024;

/**
 * Options of {@link PeerServerConnection}.
 * @internal
 */
export interface PeerServerConnectionOptions {
  readonly socket: Socket;
  readonly instance: string;
  readonly handler: PeerHandler;
  readonly events: EventLog;
  readonly heartbeat: HeartbeatOptions;
  readonly onClosed: () => void;
}

/**
 * The server end of a connection. It checks the hello and then answers each request once.
 * @internal
 */
export class PeerServerConnection {
  private readonly options: PeerServerConnectionOptions;

  private readonly connection: PeerConnection;

  /** Instance id of the peer; undefined before its hello. */
  private from: string | undefined;

  private lastRequestNumber = 0;

  /**
   * Takes ownership of an accepted socket.
   * @param options - The socket, this instance's id and its request handler.
   */
  constructor(options: PeerServerConnectionOptions) {
    this.options = options;
    this.connection = new PeerConnection({
      socket: options.socket,
      heartbeat: options.heartbeat,
      onFrame: (frame) => this.receive(frame),
      onClosed: (closure) => this.finish(closure),
    });
  }

  /** Closes the connection after the written replies have been sent. */
  stop(): void {
    this.connection.closeAfterWrites('this instance stops');
  }

  private receive(frame: PeerFrame): void {
    if (frame.kind === 'hello') this.handleHello(frame.from, frame.to);
    else if (frame.kind === 'request') void this.answer(frame.number, frame.request);
    else throwError('bad-request', `Unexpected ${frame.kind} frame on a server.`);
  }

  /**
   * Guards against a restarted daemon that answers requests to its predecessor on the same address.
   * It does not know the predecessor's grants, so its "no such grant" would be taken for the
   * predecessor's answer. Instance ids are never reused, so comparing them is sufficient.
   */
  private handleHello(from: string, to: string): void {
    const { instance, events } = this.options;
    if (this.from !== undefined) throwError('bad-request', 'The peer sent a second hello.');
    if (to !== instance) {
      events.write('peerMismatched', { peer: from, expectedInstance: to });
      this.connection.closeAfterWrites(`the peer expected ${to}`);
      return;
    }
    this.from = from;
    const number = this.connection.allocateNumber();
    this.connection.send({ kind: 'hello', number, from: instance, to: from });
    events.write('peerConnected', { peer: from, opened: 'by-peer' });
  }

  private async answer(number: number, value: unknown): Promise<void> {
    if (this.from === undefined) {
      this.connection.reject('the peer sent a request before its hello');
      return;
    }
    if (number <= this.lastRequestNumber) {
      this.connection.reject('the request number did not increase');
      return;
    }
    this.lastRequestNumber = number;
    this.sendReply(number, await this.handle(this.from, value));
  }

  private async handle(from: string, value: unknown): Promise<PeerReply> {
    try {
      return await this.options.handler(from, parsePeerRequest(value));
    } catch (thrown) {
      if (!(thrown instanceof RattanliftError)) this.logFailure(from, thrown);
      const { kind, message, retryAtMs } = toRattanliftError(thrown);
      return { type: 'refused', kind, message, retryAtMs };
    }
  }

  private sendReply(number: number, reply: PeerReply): void {
    try {
      this.connection.send({ kind: 'reply', number, reply });
    } catch {
      this.sendLargeReply(number, reply);
    }
  }

  private sendLargeReply(number: number, reply: PeerReply): void {
    try {
      this.sendInParts(number, encodeCbor(reply));
    } catch (thrown) {
      this.logFailure(this.from!, thrown);
      const { kind, message } = toRattanliftError(thrown);
      const refusal: PeerReply = { type: 'refused', kind, message };
      this.connection.send({ kind: 'reply', number, reply: refusal });
    }
  }

  /** Sends a reply that is too large for one frame, such as the full state for a new instance. */
  private sendInParts(number: number, payload: Buffer): void {
    if (payload.length > MAX_REPLY_BYTES) {
      throwError('internal', `A reply of ${payload.length} bytes exceeds ${MAX_REPLY_BYTES}.`);
    }
    const partCount = Math.ceil(payload.length / PART_BYTES);
    Array.from({ length: partCount }).forEach((_, index) => {
      const bytes = payload.subarray(index * PART_BYTES, (index + 1) * PART_BYTES);
      const isLast = index === partCount - 1;
      this.connection.send({ kind: 'reply-part', number, bytes, isLast });
    });
  }

  private logFailure(peer: string, thrown: unknown): void {
    this.options.events.write('peerHandlerFailed', { peer, reason: String(thrown) });
  }

  private finish({ type, reason }: ConnectionClosure): void {
    const { events, onClosed, socket } = this.options;
    const peer = this.from ?? socket.remoteAddress ?? 'unknown';
    if (type === 'rejected') events.write('frameRejected', { peer, reason });
    else if (this.from !== undefined) events.write('peerLost', { peer, reason });
    onClosed();
  }
}
