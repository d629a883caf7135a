import { Pool } from 'undici';

const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_IDLE_LIMIT_MS = 4000;
const NO_TIMEOUT = 0;

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

/** Short exchanges over HTTP with one server, never repeated and never without an end. */
export class HttpClient {
  private readonly options: HttpClientOptions;

  private pool: Pool;

  /**
   * Creates a client that connects at its first request.
   * @param options - Address and limits.
   */
  constructor(options: HttpClientOptions) {
    this.options = options;
    this.pool = this.createPool();
  }

  /**
   * Sends one request and reads its whole answer.
   * @param request - What to send and how long to wait.
   * @returns The answer, whatever its status.
   * @throws Error Where no whole answer came in time; the request may have taken effect.
   */
  async send(request: HttpRequest): Promise<HttpAnswer> {
    const { pool } = this;
    try {
      const response = await pool.request({
        method: request.method,
        path: request.path,
        headers: request.headers ?? {},
        body: request.body ?? null,
        signal: AbortSignal.timeout(request.timeoutMs),
        headersTimeout: request.silenceTimeoutMs ?? NO_TIMEOUT,
        bodyTimeout: request.silenceTimeoutMs ?? NO_TIMEOUT,
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      return { httpStatus: response.statusCode, body };
    } catch (error) {
      this.retire(pool);
      throw error;
    }
  }

  /** Ends every connection; requests in progress fail. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  // Guards against a middlebox that has forgotten the open connections: requests on them get no
  // answer while a new connection would work. After a failure no old connection is used again;
  // requests still in progress on them end by their own timeouts.
  private retire(pool: Pool): void {
    if (this.pool !== pool || pool.destroyed) return;
    this.pool = this.createPool();
    void pool.close().catch(() => undefined);
  }

  private createPool(): Pool {
    const { host, port, connectTimeoutMs, idleLimitMs, maxConnectionCount } = this.options;
    const keepAliveMs = idleLimitMs ?? DEFAULT_IDLE_LIMIT_MS;
    return new Pool(`http://${host}:${port}`, {
      pipelining: 1,
      connections: maxConnectionCount ?? null,
      keepAliveTimeout: keepAliveMs,
      // Bounds what a server may ask for in its Keep-Alive header.
      keepAliveMaxTimeout: keepAliveMs,
      connect: { timeout: connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS },
    });
  }
}
