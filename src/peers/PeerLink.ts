import { connect } from 'node:net';
import { RattanliftError, throwError, toRattanliftError } from '../errors/index.js';
import type { EventLog } from '../logging/index.js';
import { decodeCbor, MAX_REPLY_BYTES } from './frameCodec.js';
import type { HeartbeatOptions } from './HeartbeatOptions.js';
import { type ConnectionClosure, PeerConnection } from './PeerConnection.js';
import type { PeerFrame } from './PeerFrame.js';
import type { PeerAddress, PeerReply, PeerRequest } from './PeerMessage.js';
import { parsePeerReply } from './peerSchemas.js';

/** Time without received data after which a call pings the peer, in milliseconds. */
const PING_AFTER_MS = 400;
/** Minimum time that a peer has to answer a ping, in milliseconds: a busy peer answers late. */
const MIN_PONG_WAIT_MS = 800;
/** Longest attempt to connect, in milliseconds; the system repeats a lost packet after 1 s. */
const CONNECT_WAIT_MS = 2_000;
/** Longest delay that a Node.js timer supports, in milliseconds. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Backoff between attempts to reopen a lost connection. */
export interface ReopenOptions {
  /** Delay after the first loss, in milliseconds; it doubles with each consecutive failure. */
  readonly reopenMinMs: number;
  /** Longest delay, in milliseconds. */
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
  /** Pings the peer; undefined if the call's wait is too short for a pong to arrive. */
  readonly pingTimer: NodeJS.Timeout | undefined;
  /** Connection that carried the call, and its chunk count at that time; absent if unsent. */
  sentOn?: { readonly connection: PeerConnection; readonly receivedChunkCount: number };
}

/**
 * Calls to one peer over one connection at a time, opened when a call needs it.
 * @internal
 */
export class PeerLink {
  private readonly options: PeerLinkOptions;

  private connection: PeerConnection | undefined;

  /** Whether the TCP connection is established; before that, no call is sent. */
  private connected = false;

  /** Whether the peer has confirmed its instance id. */
  private isPeerConfirmed = false;

  private failureCount = 0;

  private reopenTimer: NodeJS.Timeout | undefined;

  /** Ends the current attempt to connect. */
  private connectTimer: NodeJS.Timeout | undefined;

  /** Number of the latest call; numbers increase across all connections of the link. */
  private lastCallNumber = 0;

  private readonly calls = new Map<number, PendingCall>();

  /** Parts of incomplete large replies, by call number. */
  private readonly parts = new Map<number, readonly Uint8Array[]>();

  /** Numbers of the calls that have not been sent yet. */
  private readonly unsent = new Set<number>();

  /**
   * Creates a link without a connection.
   * @param options - The peer and the connection settings.
   */
  constructor(options: PeerLinkOptions) {
    this.options = options;
  }

  /** Whether the link has no connection, no unsent call and no pending reopening. */
  get idle(): boolean {
    return !this.connection && !this.reopenTimer && this.unsent.size === 0;
  }

  /**
   * Sends a request, and opens a connection if there is none.
   * @param request - The request.
   * @param waitMs - Longest wait for the reply, in milliseconds.
   * @returns The reply.
   * @throws RattanliftError Of kind `peer-unavailable` if no reply arrives, or `internal` if the
   * request is too large.
   */
  call(request: PeerRequest, waitMs: number): Promise<PeerReply> {
    this.lastCallNumber += 1;
    const number = this.lastCallNumber;
    return new Promise((resolve, reject) => {
      // Data that arrived while the event loop was blocked is read in this turn, before the expiry.
      const expire = (): unknown => setImmediate(() => this.expire(number));
      const timer = setTimeout(expire, Math.min(waitMs, MAX_TIMER_MS));
      const mayPing = waitMs >= PING_AFTER_MS + MIN_PONG_WAIT_MS;
      const pingTimer = mayPing
        ? setTimeout(() => this.pingIfSilent(number), PING_AFTER_MS)
        : undefined;
      this.calls.set(number, { request, resolve, reject, timer, pingTimer });
      this.unsent.add(number);
      if (this.connected) this.sendUnsentCalls();
      else if (!this.connection && !this.reopenTimer) this.open();
    });
  }

  /** Closes the connection and fails every call. */
  stop(): void {
    this.connection?.close('this instance stops');
    this.rejectAllCalls('this instance stops');
    clearTimeout(this.reopenTimer);
  }

  /**
   * Opens a connection. Without a bound of its own, an attempt outlives a cut that has swallowed
   * its packets: the system repeats them ever more rarely, and all calls meanwhile wait for it.
   */
  private open(): void {
    const { peer, heartbeat } = this.options;
    const socket = connect({ host: peer.host, port: peer.port });
    const connection = new PeerConnection({
      socket,
      heartbeat,
      onFrame: (frame) => this.receive(frame),
      onClosed: (closure) => {
        clearTimeout(this.connectTimer);
        this.finish(closure);
      },
    });
    this.connection = connection;
    this.connectTimer = setTimeout(
      () => connection.close('the peer did not accept a connection in time'),
      CONNECT_WAIT_MS,
    );
    socket.once('connect', () => this.sendHello());
  }

  /** Sends the hello and the unsent calls; a peer with another instance id handles no request. */
  private sendHello(): void {
    const { instance, peer } = this.options;
    const connection = this.connection!;
    clearTimeout(this.connectTimer);
    this.connected = true;
    const number = connection.allocateNumber();
    connection.send({ kind: 'hello', number, from: instance, to: peer.instance });
    this.sendUnsentCalls();
  }

  private sendUnsentCalls(): void {
    this.unsent.forEach((number) => this.send(number));
  }

  private send(number: number): void {
    this.unsent.delete(number);
    try {
      const call = this.calls.get(number)!;
      const connection = this.connection!;
      call.sentOn = { connection, receivedChunkCount: connection.receivedChunkCount };
      connection.send({ kind: 'request', number, request: call.request });
    } catch (thrown) {
      this.removeCall(number).reject(toRattanliftError(thrown));
    }
  }

  /** Removes a pending call and clears its timers. */
  private removeCall(number: number): PendingCall {
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
    else if (frame.kind === 'reply' && this.isPeerConfirmed) this.settle(frame.number, frame.reply);
    else if (frame.kind === 'reply-part' && this.isPeerConfirmed) this.collectPart(frame);
    else throwError('bad-request', `Unexpected ${frame.kind} frame on a client.`);
  }

  private checkHello(from: string, to: string): void {
    const { instance, peer, events } = this.options;
    if (this.isPeerConfirmed || from !== peer.instance || to !== instance) {
      throwError('bad-request', `The hello from ${from} to ${to} is unexpected.`);
    }
    this.isPeerConfirmed = true;
    this.failureCount = 0;
    events.write('peerConnected', { peer: peer.instance, opened: 'by-us' });
  }

  /**
   * Guards against a late reply that resolves another call. Numbers are never reused, and the
   * number of an expired call is removed, so a reply whose number is not pending is dropped.
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
    this.removeCall(number).resolve(reply);
  }

  /** Collects the parts of a large reply; parts for calls that have ended are dropped. */
  private collectPart({ number, bytes, isLast }: ReplyPart): void {
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
    const call = this.removeCall(number);
    call.reject(this.createError(`did not reply to ${call.request.type} in time`));
    if (call.pingTimer !== undefined) PeerLink.closeIfSilent(call);
  }

  private pingIfSilent(number: number): void {
    const call = this.calls.get(number);
    if (call !== undefined) PeerLink.findSilentConnection(call)?.ping();
  }

  /**
   * Guards against calls that fail one after another on a connection whose state a middlebox has
   * dropped, until the infrequent heartbeats detect it. If the peer has not answered a ping by the
   * end of a call, the connection is closed, and a later call opens a new one.
   */
  private static closeIfSilent(call: PendingCall): void {
    PeerLink.findSilentConnection(call)?.close('the peer is silent');
  }

  /** Returns the connection of a call if it has received nothing since the call was sent. */
  private static findSilentConnection({ sentOn: sent }: PendingCall): PeerConnection | undefined {
    if (sent === undefined) return undefined;
    const { connection, receivedChunkCount: chunkCountAtSend } = sent;
    return connection.receivedChunkCount === chunkCountAtSend ? connection : undefined;
  }

  private finish({ type, reason }: ConnectionClosure): void {
    const { events, peer } = this.options;
    if (type === 'rejected') events.write('frameRejected', { peer: peer.instance, reason });
    else if (this.failureCount === 0) events.write('peerLost', { peer: peer.instance, reason });
    this.connection = undefined;
    this.connected = false;
    this.isPeerConfirmed = false;
    this.rejectAllCalls(reason);
    this.scheduleReopen();
  }

  /** Limits how often a connection is reopened; new calls wait for the next attempt. */
  private scheduleReopen(): void {
    const { reopenMinMs, reopenMaxMs } = this.options.reopen;
    const waitMs = Math.min(reopenMaxMs, reopenMinMs * 2 ** this.failureCount);
    this.failureCount += 1;
    this.reopenTimer = setTimeout(() => {
      this.reopenTimer = undefined;
      if (this.unsent.size > 0) this.open();
    }, waitMs);
    this.reopenTimer.unref();
  }

  private rejectAllCalls(reason: string): void {
    [...this.calls.keys()].forEach((number) =>
      this.removeCall(number).reject(this.createError(`is unreachable: ${reason}`)),
    );
  }

  private createError(failure: string): RattanliftError {
    return new RattanliftError({
      kind: 'peer-unavailable',
      message: `The instance ${this.options.peer.instance} ${failure}.`,
    });
  }
}
