import type { Socket } from 'node:net';
import { encodeFrame } from './frameCodec.js';
import { FrameDecoder } from './FrameDecoder.js';
import type { HeartbeatOptions } from './HeartbeatOptions.js';
import type { PeerFrame } from './PeerFrame.js';

/** Bytes that may wait for a slow peer before its connection is given up. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

/**
 * Why a connection is gone: it was lost or ended, or the other end broke the protocol.
 * @internal
 */
export interface ConnectionClosure {
  readonly type: 'lost' | 'rejected';
  readonly reason: string;
}

/**
 * Options of {@link PeerConnection}.
 * @internal
 */
export interface PeerConnectionOptions {
  readonly socket: Socket;
  readonly heartbeat: HeartbeatOptions;
  /** Receives each frame but pings and pongs; what it throws closes the connection. */
  readonly onFrame: (frame: PeerFrame) => void;
  /** Learns once that the connection is gone. */
  readonly onClosed: (closure: ConnectionClosure) => void;
}

/**
 * One TCP connection between two instances, the same at both ends.
 * @internal
 */
export class PeerConnection {
  private readonly options: PeerConnectionOptions;

  private readonly decoder = new FrameDecoder();

  private readonly heartbeat: NodeJS.Timeout;

  private lastNumber = 0;

  private silentHeartbeatCount = 0;

  private receivedCount = 0;

  private closure: ConnectionClosure | undefined;

  private isCorked = false;

  /**
   * Takes over a socket that is connected or connecting.
   * @param options - The socket and what to do with its frames.
   */
  constructor(options: PeerConnectionOptions) {
    this.options = options;
    const { socket, heartbeat } = options;
    socket.setNoDelay(true);
    socket.on('data', (chunk) => this.receive(chunk));
    socket.on('error', (error) => this.close(error.message));
    socket.on('close', () => this.finish());
    this.heartbeat = setInterval(() => this.beat(), heartbeat.heartbeatMs);
  }

  /**
   * Makes a number for a hello or a ping of this end.
   * @returns The number.
   */
  takeNumber(): number {
    this.lastNumber += 1;
    return this.lastNumber;
  }

  /**
   * Sends a frame.
   * @param frame - The frame.
   * @throws RattanliftError Of kind `internal` where the frame is too large.
   */
  send(frame: PeerFrame): void {
    const { socket } = this.options;
    if (socket.destroyed) return;
    this.corkForTurn();
    socket.write(encodeFrame(frame));
    if (socket.writableLength > MAX_BUFFERED_BYTES) this.close('the peer reads too slowly');
  }

  /** Count of the times that bytes have come; one that stays shows that the peer is silent. */
  get arrivalCount(): number {
    return this.receivedCount;
  }

  /** Asks the peer for a sign of life. */
  ping(): void {
    this.send({ kind: 'ping', number: this.takeNumber() });
  }

  /**
   * Breaks the connection off.
   * @param reason - Why, for the log line; the first one counts.
   */
  close(reason: string): void {
    this.closure ??= { type: 'lost', reason };
    this.options.socket.destroy();
  }

  /**
   * Breaks the connection off because the other end broke the protocol.
   * @param reason - What it did, for the log line.
   */
  reject(reason: string): void {
    this.closure ??= { type: 'rejected', reason };
    this.options.socket.destroy();
  }

  /**
   * Closes the connection after what was written has left.
   * @param reason - Why, for the log line.
   */
  closeAfterWrites(reason: string): void {
    this.closure ??= { type: 'lost', reason };
    this.options.socket.destroySoon();
  }

  /** Lets the frames of one turn leave in one write; a home starts tens of tasks in a turn. */
  private corkForTurn(): void {
    const { socket } = this.options;
    if (this.isCorked) return;
    this.isCorked = true;
    socket.cork();
    setImmediate(() => {
      this.isCorked = false;
      socket.uncork();
    });
  }

  private finish(): void {
    clearInterval(this.heartbeat);
    this.options.onClosed(this.closure ?? { type: 'lost', reason: 'the peer closed it' });
  }

  private receive(chunk: Buffer): void {
    this.silentHeartbeatCount = 0;
    this.receivedCount += 1;
    try {
      this.decoder.push(chunk).forEach((frame) => this.dispatch(frame));
    } catch (thrown) {
      this.reject(thrown instanceof Error ? thrown.message : String(thrown));
    }
  }

  private dispatch(frame: PeerFrame): void {
    if (this.options.socket.destroyed) return;
    if (frame.kind === 'ping') this.send({ kind: 'pong', number: frame.number });
    else if (frame.kind !== 'pong') this.options.onFrame(frame);
  }

  /**
   * Guards against a connection that a middlebox has forgotten: bytes vanish and no reset comes,
   * so calls would wait for their whole time while a new connection would work. Both ends ping
   * when they hear nothing, so only a broken path stays silent. Heartbeats are counted rather than
   * timed: a process that was frozen finds one late heartbeat, not three missed ones.
   */
  private beat(): void {
    const { socket, heartbeat } = this.options;
    if (this.silentHeartbeatCount >= heartbeat.silentHeartbeatLimit) {
      this.close('the peer is silent');
      return;
    }
    if (this.silentHeartbeatCount > 0 && !socket.connecting) this.ping();
    this.silentHeartbeatCount += 1;
  }
}
