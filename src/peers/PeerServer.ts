import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { throwError } from '../errors/index.js';
import type { EventLog } from '../logging/index.js';
import { DEFAULT_HEARTBEAT, type HeartbeatOptions } from './HeartbeatOptions.js';
import type { PeerHandler } from './PeerMessage.js';
import { PeerServerConnection } from './PeerServerConnection.js';

/** Options of {@link PeerServer}. */
export interface PeerServerOptions {
  /** Id of this instance. */
  readonly instance: string;
  readonly host: string;
  /** Port to listen on; 0 lets the system choose. */
  readonly port: number;
  readonly handler: PeerHandler;
  readonly events: EventLog;
  readonly heartbeat?: HeartbeatOptions;
}

/** Answers the requests of other instances. */
export class PeerServer {
  private readonly options: PeerServerOptions;

  private readonly server: Server;

  private readonly connections = new Set<PeerServerConnection>();

  /**
   * Creates a server that does not listen yet.
   * @param options - Address, instance and handler.
   */
  constructor(options: PeerServerOptions) {
    this.options = options;
    this.server = createServer((socket) => this.accept(socket));
  }

  /**
   * Starts to listen.
   * @returns The port.
   * @throws RattanliftError Of kind `internal` if the server cannot listen on the address.
   */
  async start(): Promise<{ readonly port: number }> {
    const { host, port } = this.options;
    try {
      await new Promise<void>((resolve, reject) => {
        this.server.once('error', reject);
        this.server.listen(port, host, resolve);
      });
    } catch (thrown) {
      throwError('internal', `The peer server cannot listen on ${host}:${port}.`, {
        cause: thrown as Error,
      });
    }
    return { port: (this.server.address() as AddressInfo).port };
  }

  /** Stops listening and closes every connection after its written replies have been sent. */
  async stop(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.connections.forEach((connection) => connection.stop());
    await closed;
  }

  private accept(socket: Socket): void {
    const { instance, handler, events, heartbeat = DEFAULT_HEARTBEAT } = this.options;
    const connection: PeerServerConnection = new PeerServerConnection({
      socket,
      instance,
      handler,
      events,
      heartbeat,
      onClosed: () => this.connections.delete(connection),
    });
    this.connections.add(connection);
  }
}
