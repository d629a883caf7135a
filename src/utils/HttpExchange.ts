import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request as openRequest,
} from 'node:http';
import type { HttpAnswer, HttpRequest } from './HttpClient.js';

/** Options of {@link HttpExchange}. */
export interface HttpExchangeOptions {
  readonly agent: Agent;
  readonly host: string;
  readonly port: number;
  /** Longest wait for a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  readonly request: HttpRequest;
}

/** What a request waits for. */
type Wait = 'connection' | 'further byte' | 'whole answer';

/** One request on its way, until its whole answer is here or one of its waits has ended. */
export class HttpExchange {
  private readonly options: HttpExchangeOptions;

  private readonly timers: NodeJS.Timeout[] = [];

  private readonly outgoing: ClientRequest;

  /** How often the connection or a piece of the answer has come. */
  private arrivalCount = 0;

  private isOver = false;

  /**
   * Prepares a request; nothing is sent yet.
   * @param options - Connection, request and waits.
   */
  constructor(options: HttpExchangeOptions) {
    this.options = options;
    const { agent, host, port, request } = options;
    const { method, path, headers = {} } = request;
    this.outgoing = openRequest({ agent, host, port, method, path, headers });
  }

  /**
   * Sends the request.
   * @returns The whole answer.
   * @throws Error Where the connection failed or a wait has ended.
   */
  async run(): Promise<HttpAnswer> {
    try {
      return await new Promise((resolve, reject) => {
        this.exchange(resolve, reject);
      });
    } finally {
      this.isOver = true;
      this.timers.forEach((timer) => clearTimeout(timer));
    }
  }

  private exchange(resolve: (answer: HttpAnswer) => void, reject: (error: Error) => void): void {
    const { connectTimeoutMs, request } = this.options;
    const { timeoutMs, silenceTimeoutMs, body } = request;
    this.failAfter(timeoutMs, 'whole answer', reject);
    const silence =
      silenceTimeoutMs === undefined
        ? undefined
        : this.failAfter(silenceTimeoutMs, 'further byte', reject);
    this.outgoing.on('error', reject);
    this.outgoing.on('socket', (socket) => {
      if (!socket.connecting) return;
      const timer = this.failAfter(connectTimeoutMs, 'connection', reject);
      socket.once('connect', () => {
        this.arrivalCount += 1;
        clearTimeout(timer);
      });
    });
    this.outgoing.on('response', (incoming) => {
      incoming.on('error', reject);
      this.collect(incoming, silence, resolve);
    });
    this.outgoing.end(body);
  }

  private collect(
    incoming: IncomingMessage,
    silence: NodeJS.Timeout | undefined,
    resolve: (answer: HttpAnswer) => void,
  ): void {
    const chunks: Buffer[] = [];
    const noteArrival = (): void => {
      this.arrivalCount += 1;
      silence?.refresh();
    };
    noteArrival();
    incoming.on('data', (chunk: Buffer) => {
      noteArrival();
      chunks.push(chunk);
    });
    incoming.on('end', () =>
      resolve({ httpStatus: incoming.statusCode!, body: Buffer.concat(chunks) }),
    );
  }

  /**
   * Guards against an answer in time that counts as none: a process that was held up finds its
   * timers due before it reads what has come meanwhile, which it does within the same turn.
   */
  private failAfter(waitMs: number, what: Wait, reject: (error: Error) => void): NodeJS.Timeout {
    const timer = setTimeout(() => {
      const { arrivalCount } = this;
      setImmediate(() => {
        const hasCome = what !== 'whole answer' && this.arrivalCount > arrivalCount;
        if (!this.isOver && !hasCome) this.fail(waitMs, what, reject);
      });
    }, waitMs);
    this.timers.push(timer);
    return timer;
  }

  /**
   * Rejects beside the request's own error: a request that still waits for a connection tells of
   * its end only once it has one, after the request that hangs there.
   */
  private fail(waitMs: number, what: Wait, reject: (error: Error) => void): void {
    const error = new Error(`There was no ${what} within ${waitMs} ms.`);
    this.outgoing.destroy(error);
    reject(error);
  }
}
