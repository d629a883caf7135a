import { type AddressInfo, connect, createServer, type Socket } from 'node:net';

/** Forwards TCP connections and can drop their state, so that bytes are lost without a reset. */
export class TcpForwarder {
  private readonly sockets = new Set<Socket>();

  private readonly server = createServer((near) => this.forward(near));

  private readonly targetPort: number;

  connectionCount = 0;

  constructor(targetPort: number) {
    this.targetPort = targetPort;
  }

  async start(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Discards the data and the closing of every current connection from now on. */
  dropConnectionState(): void {
    this.sockets.forEach((socket) => {
      socket.removeAllListeners('data');
      socket.removeAllListeners('close');
      socket.on('data', () => {});
    });
  }

  stop(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private forward(client: Socket): void {
    const upstream = connect(this.targetPort, '127.0.0.1');
    this.connectionCount += 1;
    this.copy(client, upstream);
    this.copy(upstream, client);
  }

  private copy(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.on('data', (bytes) => to.write(bytes));
    from.on('error', () => {});
    from.on('close', () => to.destroy());
  }
}
