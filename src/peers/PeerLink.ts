import { connect } from 'node:net';
import { RattanliftError, throwError, toRattanliftError } from '../errors/index.js';
import type { EventLog } from '../logging/index.js';
import { decodeCbor, MAX_REPLY_BYTES } from './frameCodec.js';
import type { HeartbeatOptions } from './HeartbeatOptions.js';
import { type ConnectionClosure, PeerConnection } from './PeerConnection.js';
import type { PeerFrame } from './PeerFrame.js';
import type { PeerAddress, PeerReply, PeerRequest } from './PeerMessage.js';
import { parsePeerReply } from './peerSchemas.js';

/** Time without a sign of life, in milliseconds, after which a call asks the peer for one. */
const PING_AFTER_MS = 400;
/** Time that a peer has for a sign of life, in milliseconds: a busy one answers late. */
const MIN_PONG_WAIT_MS = 800;
/** Longest wait that a timer of Node.js can hold, in milliseconds. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** How soon a lost connection may be opened again. */
export interface ReopenOptions {
  /** Wait after the first loss, in milliseconds; it doubles with each failure in a row. */
  readonly reopenMinMs: number;
  /** Longest wait, in milliseconds. */
  readonly reopenMaxMs: number;
}

/**
 * Options of {@link PeerLink}.
 * @internal
 */
export interface PeerLinkOptions {
  /** Id of this instance. */
  readonly instance: string;
  readonly peer: PeerAddress;
  readonly events: EventLog;
  readonly heartbeat: HeartbeatOptions;
  readonly reopen: ReopenOptions;
}

type ReplyPart = Extract<PeerFrame, { readonly kind: 'reply-part' }>;

/** A call that has no reply yet. */
interface PendingCall {
  readonly request: PeerRequest;
  readonly resolve: (reply: PeerReply) => void;
  readonly reject: (error: Error) => void;
  readonly timer: NodeJS.Timeout;
  /** Asks for a sign of life; absent where the wait is too short for an answer to that. */
  readonly pingTimer: NodeJS.Timeout | undefined;
  /** What had arrived on the connection when the call was sent on it. */
  sentAfter?: { readonly connection: PeerConnection; readonly arrivalCount: number };
}

/**
 * Calls to one peer over one connection at a time, opened when a call needs it.
 * @internal
 */
export class PeerLink {
  private readonly options: PeerLinkOptions;

  private connection: PeerConnection | undefined;

  /** Whether the TCP connection is there; until then no call is written. */
  private connected = false;

  /** Whether the peer has confirmed who it is. */
  private greeted = false;

  private failureCount = 0;

  private reopenTimer: NodeJS.Timeout | undefined;

  /** Number of the latest call; they grow through all connections of the link. */
  private lastCallNumber = 0;

  private readonly calls = new Map<number, PendingCall>();

  /** Parts of large replies that are not whole yet, by the numbers of their calls. */
  private readonly parts = new Map<number, readonly Uint8Array[]>();

  /** Numbers of the calls that no connection has carried yet. */
  private readonly unsent = new Set<number>();

  /**
   * Creates a link without a connection.
   * @param options - The peer and how to watch the connection.
   */
  constructor(options: PeerLinkOptions) {
    this.options = options;
  }

  /** Whether the link holds neither a connection nor a call nor a wait. */
  get idle(): boolean {
    return !this.connection && !this.reopenTimer && this.unsent.size === 0;
  }

  /**
   * Sends a request, on a new connection where there is none.
   * @param request - What to ask.
   * @param waitMs - Longest wait for the reply, in milliseconds.
   * @returns The reply.
   * @throws RattanliftError Of kind `peer-unavailable` without a reply, or `internal` where the
   * request is too large to be sent.
   */
  call(request: PeerRequest, waitMs: number): Promise<PeerReply> {
    this.lastCallNumber += 1;
    const number = this.lastCallNumber;
    return new Promise((resolve, reject) => {
      // What came while this process was held up is read within this turn, before it is given up.
      const expire = (): unknown => setImmediate(() => this.expire(number));
      const timer = setTimeout(expire, Math.min(waitMs, MAX_TIMER_MS));
      const mayPing = waitMs >= PING_AFTER_MS + MIN_PONG_WAIT_MS;
      const pingTimer = mayPing
        ? setTimeout(() => this.pingSilent(number), PING_AFTER_MS)
        : undefined;
      this.calls.set(number, { request, resolve, reject, timer, pingTimer });
      this.unsent.add(number);
      if (this.connected) this.sendAll();
      else if (!this.connection && !this.reopenTimer) this.open();
    });
  }

  /** Closes the connection and fails every call. */
  stop(): void {
    this.connection?.close('this instance stops');
    this.failAll('this instance stops');
    clearTimeout(this.reopenTimer);
  }

  private open(): void {
    const { peer, heartbeat } = this.options;
    const socket = connect({ host: peer.host, port: peer.port });
    this.connection = new PeerConnection({
      socket,
      heartbeat,
      onFrame: (frame) => this.receive(frame),
      onClosed: (closure) => this.finish(closure),
    });
    socket.once('connect', () => this.greet());
  }

  /** Says hello and sends what waits; the peer handles no request if it is not the one meant. */
  private greet(): void {
    const { instance, peer } = this.options;
    const connection = this.connection!;
    this.connected = true;
    const number = connection.takeNumber();
    connection.send({ kind: 'hello', number, from: instance, to: peer.instance });
    this.sendAll();
  }

  private sendAll(): void {
    this.unsent.forEach((number) => this.send(number));
  }

  private send(number: number): void {
    this.unsent.delete(number);
    try {
      const call = this.calls.get(number)!;
      const connection = this.connection!;
      call.sentAfter = { connection, arrivalCount: connection.arrivalCount };
      connection.send({ kind: 'request', number, request: call.request });
    } catch (thrown) {
      this.take(number).reject(toRattanliftError(thrown));
    }
  }

  /** Ends the wait of a call. */
  private take(number: number): PendingCall {
    const call = this.calls.get(number)!;
    this.calls.delete(number);
    this.parts.delete(number);
    this.unsent.delete(number);
    clearTimeout(call.timer);
    clearTimeout(call.pingTimer);
    return call;
  }

  private receive(frame: PeerFrame): void {
    if (frame.kind === 'hello') this.checkHello(frame.from, frame.to);
    else if (frame.kind === 'reply' && this.greeted) this.settle(frame.number, frame.reply);
    else if (frame.kind === 'reply-part' && this.greeted) this.collect(frame);
    else throwError('bad-request', `A ${frame.kind} came to a calling end.`);
  }

  private checkHello(from: string, to: string): void {
    const { instance, peer, events } = this.options;
    if (this.greeted || from !== peer.instance || to !== instance) {
      throwError('bad-request', `A hello of ${from} to ${to} came.`);
    }
    this.greeted = true;
    this.failureCount = 0;
    events.write('peerConnected', { peer: peer.instance, opened: 'by-us' });
  }

  /**
   * Guards against a late reply that reaches a call which did not ask for it. Numbers are not used
   * twice, and a call that gave up takes its number with it, so a reply without an outstanding
   * number belongs to nobody.
   */
  private settle(number: number, value: unknown): void {
    if (!this.calls.has(number) || this.unsent.has(number)) {
      this.options.events.write('replyDropped', {
        peer: this.options.peer.instance,
        callNumber: number,
      });
      return;
    }
    const reply = parsePeerReply(value);
    this.take(number).resolve(reply);
  }

  /** Gathers the parts of a large reply; those that nobody waits for any more are not kept. */
  private collect({ number, bytes, isLast }: ReplyPart): void {
    const parts = [...(this.parts.get(number) ?? []), bytes];
    const sizeBytes = parts.reduce((sum, part) => sum + part.length, 0);
    if (sizeBytes > MAX_REPLY_BYTES) throwError('bad-request', 'A reply is too large.');
    if (this.calls.has(number)) this.parts.set(number, parts);
    if (!isLast) return;
    const isAwaited = this.calls.has(number);
    this.settle(number, isAwaited ? decodeCbor(Buffer.concat(parts)) : undefined);
  }

  private expire(number: number): void {
    if (!this.calls.has(number)) return;
    const call = this.take(number);
    call.reject(this.createError(`did not reply to ${call.request.type} in time`));
    if (call.pingTimer !== undefined) PeerLink.leaveSilent(call);
  }

  private pingSilent(number: number): void {
    const call = this.calls.get(number);
    if (call !== undefined) PeerLink.findSilent(call)?.ping();
  }

  /**
   * Guards against calls that fail one after the other on a connection that a middlebox has
   * forgotten, until heartbeats find that out, which are rare: a peer that has not answered a ping
   * within the rest of a call is left, and the next call opens a new connection.
   */
  private static leaveSilent(call: PendingCall): void {
    PeerLink.findSilent(call)?.close('the peer is silent');
  }

  /** Finds the connection of a call where nothing has come on it since the call was sent. */
  private static findSilent({ sentAfter }: PendingCall): PeerConnection | undefined {
    if (sentAfter === undefined) return undefined;
    const { connection, arrivalCount } = sentAfter;
    return connection.arrivalCount === arrivalCount ? connection : undefined;
  }

  private finish({ type, reason }: ConnectionClosure): void {
    const { events, peer } = this.options;
    if (type === 'rejected') events.write('frameRejected', { peer: peer.instance, reason });
    else if (this.failureCount === 0) events.write('peerLost', { peer: peer.instance, reason });
    this.connection = undefined;
    this.connected = false;
    this.greeted = false;
    this.failAll(reason);
    this.waitToReopen();
  }

  /** Bounds how often a peer that is down is tried; calls made meanwhile wait for the next try. */
  private waitToReopen(): void {
    const { reopenMinMs, reopenMaxMs } = this.options.reopen;
    const waitMs = Math.min(reopenMaxMs, reopenMinMs * 2 ** this.failureCount);
    this.failureCount += 1;
    this.reopenTimer = setTimeout(() => {
      this.reopenTimer = undefined;
      if (this.unsent.size > 0) this.open();
    }, waitMs);
    this.reopenTimer.unref();
  }

  private failAll(reason: string): void {
    [...this.calls.keys()].forEach((number) =>
      this.take(number).reject(this.createError(`is out of reach: ${reason}`)),
    );
  }

  private createError(what: string): RattanliftError {
    return new RattanliftError({
      kind: 'peer-unavailable',
      message: `The instance ${this.options.peer.instance} ${what}.`,
    });
  }
}
