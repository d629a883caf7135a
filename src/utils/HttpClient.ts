import { Agent } from 'node:http';
import { HttpExchange } from './HttpExchange.js';

const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_IDLE_LIMIT_MS = 4000;

/** Options of {@link HttpClient}. */
export interface HttpClientOptions {
  readonly host: string;
  readonly port: number;
  /** Longest wait for a connection, in milliseconds. */
  readonly connectTimeoutMs?: number;
  /** Idle time after which a connection is not used again, in milliseconds. */
  readonly idleLimitMs?: number;
  /** Most connections at a time; absent means no limit. */
  readonly maxConnectionCount?: number;
}

/** A request with an optional body of bytes. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
  /** Longest time until the whole answer is here, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Longest time without a further piece of the answer, in milliseconds; absent means that only the
   * whole counts. Tells an answer that is long and on its way from one that does not come.
   */
  readonly silenceTimeoutMs?: number;
}

/** A whole answer as bytes. */
export interface HttpAnswer {
  readonly httpStatus: number;
  readonly body: Buffer;
}

function isUnused({ sockets, requests }: Agent): boolean {
  return Object.keys(sockets).length === 0 && Object.keys(requests).length === 0;
}

/**
 * Short exchanges over HTTP with one server, never repeated and never without an end.
 *
 * It uses the client of Node.js itself. A client library that brings a parser of its own costs each
 * process 45 MB at its peak and 0.2 s of processor time at its start, and as much a request.
 */
export class HttpClient {
  private readonly options: HttpClientOptions;

  private agent: Agent;

  /** Agents with requests in progress that began before a failure. */
  private readonly retired = new Set<Agent>();

  /**
   * Creates a client that connects at its first request.
   * @param options - Address and limits.
   */
  constructor(options: HttpClientOptions) {
    this.options = options;
    this.agent = this.createAgent();
  }

  /**
   * Sends one request and reads its whole answer.
   * @param request - What to send and how long to wait.
   * @returns The answer, whatever its status.
   * @throws Error Where no whole answer came in time; the request may have taken effect.
   */
  async send(request: HttpRequest): Promise<HttpAnswer> {
    const { agent } = this;
    const { host, port, connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS } = this.options;
    try {
      return await new HttpExchange({ agent, host, port, connectTimeoutMs, request }).run();
    } catch (error) {
      this.retire(agent);
      throw error;
    }
  }

  /** Ends every connection; requests in progress fail. */
  async close(): Promise<void> {
    [this.agent, ...this.retired].forEach((agent) => agent.destroy());
  }

  /**
   * Guards against a middlebox that has forgotten the open connections: requests on them get no
   * answer while a new connection would work. After a failure no old connection is used again;
   * requests still in progress on them end by their own timeouts.
   */
  private retire(agent: Agent): void {
    if (this.agent !== agent) return;
    this.agent = this.createAgent();
    [...this.retired].filter(isUnused).forEach((unused) => this.retired.delete(unused));
    this.retired.add(agent);
    // A connection that comes free is closed from now on.
    Object.assign(agent, { maxFreeSockets: 0 });
    Object.values(agent.freeSockets)
      .flatMap((sockets) => sockets ?? [])
      .forEach((socket) => socket.destroy());
  }

  private createAgent(): Agent {
    const { idleLimitMs = DEFAULT_IDLE_LIMIT_MS, maxConnectionCount = Infinity } = this.options;
    return new Agent({
      keepAlive: true,
      maxSockets: maxConnectionCount,
      timeout: idleLimitMs,
      noDelay: true,
    });
  }
}
