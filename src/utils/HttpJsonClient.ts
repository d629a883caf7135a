import { HttpClient, type HttpClientOptions } from './HttpClient.js';

/** Options of {@link HttpJsonClient}. */
export type HttpJsonClientOptions = HttpClientOptions;

/** A request with an optional JSON body. */
export interface JsonRequest {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  /** Longest time until the whole answer is here, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Longest time without a further piece of the answer, in milliseconds; absent means that only the
   * whole counts.
   */
  readonly silenceTimeoutMs?: number;
}

/** A whole answer. */
export interface JsonAnswer {
  readonly httpStatus: number;
  /** Parsed body; undefined where the answer had none. */
  readonly body: unknown;
}

const JSON_HEADERS = { accept: 'application/json', 'content-type': 'application/json' };

/** Short exchanges of JSON over HTTP with one server, never repeated and never without an end. */
export class HttpJsonClient {
  private readonly client: HttpClient;

  /**
   * Creates a client that connects at its first request.
   * @param options - Address and limits.
   */
  constructor(options: HttpJsonClientOptions) {
    this.client = new HttpClient(options);
  }

  /**
   * Sends one request and reads its whole answer.
   * @param request - What to send and how long to wait.
   * @returns The answer, whatever its status.
   * @throws Error Where no whole answer came in time; the request may have taken effect.
   */
  async send(request: JsonRequest): Promise<JsonAnswer> {
    const { httpStatus, body } = await this.client.send({
      method: request.method,
      path: request.path,
      headers: { ...JSON_HEADERS, ...request.headers },
      ...(request.body === undefined ? {} : { body: JSON.stringify(request.body) }),
      timeoutMs: request.timeoutMs,
      ...(request.silenceTimeoutMs === undefined
        ? {}
        : { silenceTimeoutMs: request.silenceTimeoutMs }),
    });
    const parsed: unknown = body.length === 0 ? undefined : JSON.parse(body.toString('utf8'));
    return { httpStatus, body: parsed };
  }

  /** Ends every connection; requests in progress fail. */
  async close(): Promise<void> {
    await this.client.close();
  }
}
