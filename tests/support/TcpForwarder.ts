import { connect, createServer, type Server, type Socket } from 'node:net';

const HOST = '127.0.0.1';

/** What happens to the bytes of the connections that are open at a moment. */
type Silence = 'none' | 'to-upstream' | 'to-client' | 'both';

interface Link {
  readonly client: Socket;
  readonly upstream: Socket;
  silence: Silence;
}

/** Forwards TCP connections to an upstream, and fails them in the ways that middleboxes do. */
export class TcpForwarder {
  /** Delay of every chunk in each direction, in milliseconds. */
  delayMs = 0;

  /** Width of the link to all clients together, in bytes per second; infinite by default. */
  toClientBytesPerS = Infinity;

  /** Port that clients connect to. */
  port = 0;

  /** Count of connections accepted so far. */
  acceptedCount = 0;

  private readonly upstreamPort: number;

  private readonly server: Server;

  private readonly links = new Set<Link>();

  /** Monotonic time at which the link to the clients has carried all that it was given. */
  private toClientFreeAtMs = 0;

  /**
   * Creates a forwarder that does not listen yet.
   * @param upstreamPort - Port on this machine that connections go to.
   */
  constructor(upstreamPort: number) {
    this.upstreamPort = upstreamPort;
    this.server = createServer((client) => this.link(client));
  }

  /** Starts to listen. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, HOST, resolve);
    });
    this.port = (this.server.address() as { port: number }).port;
  }

  /** Stops to listen and cuts every connection. */
  async stop(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.cutAll();
    await closed;
  }

  /** Cuts every connection that is open now. */
  cutAll(): void {
    this.links.forEach(({ client, upstream }) => {
      client.destroy();
      upstream.destroy();
    });
    this.links.clear();
  }

  /**
   * Forgets the connections that are open now: nothing passes on them, not even their end, while
   * new ones work.
   * @param silence - In which direction nothing passes any more.
   */
  silenceOpen(silence: Exclude<Silence, 'none'> = 'both'): void {
    this.links.forEach((link) => {
      // eslint-disable-next-line no-param-reassign -- the link is this object's own state
      link.silence = silence;
    });
  }

  private link(client: Socket): void {
    this.acceptedCount += 1;
    const upstream = connect({ host: HOST, port: this.upstreamPort, allowHalfOpen: true });
    const link: Link = { client, upstream, silence: 'none' };
    this.links.add(link);
    const isSilent = (way: Silence) => link.silence === way || link.silence === 'both';
    const noDelay = (): number => 0;
    this.pass(client, upstream, () => isSilent('to-upstream'), noDelay);
    this.pass(
      upstream,
      client,
      () => isSilent('to-client'),
      (size) => this.queueToClient(size),
    );
  }

  /** Queues bytes on the link to the clients; returns after how many milliseconds they arrive. */
  private queueToClient(sizeBytes: number): number {
    const nowMs = performance.now();
    const carriedMs = (sizeBytes / this.toClientBytesPerS) * 1_000;
    this.toClientFreeAtMs = Math.max(nowMs, this.toClientFreeAtMs) + carriedMs;
    return this.toClientFreeAtMs - nowMs;
  }

  private pass(
    from: Socket,
    to: Socket,
    isSilent: () => boolean,
    queue: (sizeBytes: number) => number,
  ): void {
    const soon = (sizeBytes: number, act: () => void) => {
      const waitMs = this.delayMs + queue(sizeBytes);
      if (waitMs > 0) setTimeout(act, waitMs);
      else act();
    };
    from.on('data', (chunk) => {
      if (!isSilent()) soon(chunk.length, () => to.write(chunk));
    });
    from.on('end', () => {
      if (!isSilent()) soon(0, () => to.end());
    });
    from.on('close', () => {
      if (!isSilent()) soon(0, () => to.destroy());
    });
    from.on('error', () => undefined);
  }
}
