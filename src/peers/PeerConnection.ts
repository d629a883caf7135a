import type { Socket } from 'node:net';
import { encodeFrame } from './frameCodec.js';
import { FrameDecoder } from './FrameDecoder.js';
import type { HeartbeatOptions } from './HeartbeatOptions.js';
import type { PeerFrame } from './PeerFrame.js';

/** Maximum number of unsent bytes; with more, the peer reads too slowly and is disconnected. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

/**
 * Reason for which a connection is closed: it was lost or ended, or the peer broke the protocol.
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
  /** Receives each frame except pings and pongs; an error that it throws closes the connection. */
  readonly onFrame: (frame: PeerFrame) => void;
  /** Called once when the connection is closed. */
  readonly onClosed: (closure: ConnectionClosure) => void;
}

/**
 * A TCP connection between two instances. Both ends use this class.
 * @internal
 */
export class PeerConnection {
  private readonly options: PeerConnectionOptions;

  private readonly decoder = new FrameDecoder();

  private readonly heartbeat: NodeJS.Timeout;

  private lastNumber = 0;

  private silentHeartbeatCount = 0;

  private chunkCount = 0;

  private closure: ConnectionClosure | undefined;

  private isCorked = false;

  /**
   * Takes ownership of a connected or connecting socket.
   * @param options - The socket, the heartbeat settings and the callbacks.
   */
  constructor(options: PeerConnectionOptions) {
    this.options = options;
    const { socket, heartbeat } = options;
    socket.setNoDelay(true);
    socket.on('data', (chunk) => this.receive(chunk));
    socket.on('error', (error) => this.close(error.message));
    socket.on('close', () => this.finish());
    this.heartbeat = setInterval(() => this.onHeartbeat(), heartbeat.heartbeatMs);
  }

  /**
   * Allocates a number for a hello or a ping of this end.
   * @returns The number.
   */
  allocateNumber(): number {
    this.lastNumber += 1;
    return this.lastNumber;
  }

  /**
   * Sends a frame.
   * @param frame - The frame.
   * @throws RattanliftError Of kind `internal` if the frame is too large.
   */
  send(frame: PeerFrame): void {
    const { socket } = this.options;
    if (socket.destroyed) return;
    this.batchWrites();
    socket.write(encodeFrame(frame));
    if (socket.writableLength > MAX_BUFFERED_BYTES) this.close('the peer reads too slowly');
  }

  /** Number of received chunks; a silent peer does not increase it. */
  get receivedChunkCount(): number {
    return this.chunkCount;
  }

  /** Sends a ping, which the peer answers with a pong. */
  ping(): void {
    this.send({ kind: 'ping', number: this.allocateNumber() });
  }

  /**
   * Closes the connection at once.
   * @param reason - Reason for the log line; only the first reason is kept.
   */
  close(reason: string): void {
    this.closure ??= { type: 'lost', reason };
    this.options.socket.destroy();
  }

  /**
   * Closes the connection at once because the peer broke the protocol.
   * @param reason - The violation, for the log line.
   */
  reject(reason: string): void {
    this.closure ??= { type: 'rejected', reason };
    this.options.socket.destroy();
  }

  /**
   * Closes the connection after the written data has been sent.
   * @param reason - Reason for the log line.
   */
  closeAfterWrites(reason: string): void {
    this.closure ??= { type: 'lost', reason };
    this.options.socket.destroySoon();
  }

  /** Sends the frames of an event loop turn in one write; a home starts tens of tasks in a turn. */
  private batchWrites(): void {
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
    this.options.onClosed(
      this.closure ?? { type: 'lost', reason: 'the peer closed the connection' },
    );
  }

  private receive(chunk: Buffer): void {
    this.silentHeartbeatCount = 0;
    this.chunkCount += 1;
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
   * Guards against a connection whose state a middlebox has dropped: bytes are lost without a
   * reset, so calls would wait until they time out, while a new connection would work. Both ends
   * ping when they receive nothing, so only a broken path stays silent. Heartbeats are counted
   * rather than timed: a process that was suspended sees one late heartbeat, not three missed ones.
   */
  private onHeartbeat(): void {
    const { socket, heartbeat } = this.options;
    if (this.silentHeartbeatCount >= heartbeat.silentHeartbeatLimit) {
      this.close('the peer is silent');
      return;
    }
    if (this.silentHeartbeatCount > 0 && !socket.connecting) this.ping();
    this.silentHeartbeatCount += 1;
  }
}
