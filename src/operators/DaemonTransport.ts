import { Agent, type Dispatcher } from 'undici';
import { type ErrorKind, RattanliftError, throwError } from '../errors/index.js';
import type { Clock } from '../utils/index.js';
import { fromErrorBody } from './ErrorBody.js';

const CONNECT_TIMEOUT_MS = 3000;
const CLIENT_ERROR_STATUS = 400;

/** Codes of failures that come before the first byte of a request leaves. */
const UNSENT_CODES: readonly string[] = [
  'ECONNREFUSED',
  'EADDRNOTAVAIL',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** Kinds of answers that say nothing about the next daemon, and that nothing was done. */
const ELSEWHERE_KINDS: readonly ErrorKind[] = ['shutting-down', 'home-unavailable'];

/** Options of {@link DaemonTransport}. */
export interface DaemonTransportOptions {
  /** Daemons as `HOST:PORT`, tried in this order. */
  readonly daemons: readonly string[];
  readonly clock: Clock;
  /** Longest silence before an answer counts as lost, in milliseconds. */
  readonly silenceLimitMs: number;
}

/** A request to whichever daemon answers. */
export interface DaemonRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** Whether a second send does no harm when the answer to the first was lost. */
  readonly isRepeatable: boolean;
}

/** What became of one attempt. */
type Attempt =
  | { readonly type: 'answered'; readonly value: unknown }
  | { readonly type: 'refused'; readonly error: RattanliftError }
  | { readonly type: 'unsent' | 'lost'; readonly error: RattanliftError };

/** Requests to a list of daemons, of which any may be gone. */
export class DaemonTransport {
  private readonly options: DaemonTransportOptions;

  private readonly agent: Agent;

  /**
   * Creates the transport; connections are opened when they are needed.
   * @param options - Daemons and limits.
   * @throws RattanliftError Of kind `bad-request` where no daemon is given.
   */
  constructor(options: DaemonTransportOptions) {
    if (options.daemons.length === 0) throwError('bad-request', 'No daemon is given.');
    this.options = options;
    this.agent = new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: options.silenceLimitMs,
      bodyTimeout: options.silenceLimitMs,
    });
  }

  /**
   * Sends a request to the daemons in turn until one answers it.
   *
   * The failure guarded against: an order takes effect and its answer is lost; sent again, it
   * takes effect twice. It shows as a connection that ends, or stays silent, after the send.
   * A request that is not repeatable is then given up, and the error says that nobody can tell.
   * @param request - What to send.
   * @returns The answer's JSON.
   * @throws RattanliftError Of the kind that a daemon answered, `peer-unavailable`, or
   * `outcome-unknown` where an order may have been carried out.
   */
  async send(request: DaemonRequest): Promise<unknown> {
    return this.sendFrom(request, 0);
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async sendFrom(request: DaemonRequest, index: number): Promise<unknown> {
    const attempt = await this.attempt(request, this.options.daemons[index]!);
    if (attempt.type === 'answered') return attempt.value;
    const isLast = index === this.options.daemons.length - 1;
    if (isLast || !DaemonTransport.mayGoElsewhere(request, attempt)) throw attempt.error;
    return this.sendFrom(request, index + 1);
  }

  private static mayGoElsewhere(request: DaemonRequest, attempt: Attempt): boolean {
    switch (attempt.type) {
      case 'unsent':
        return true;
      case 'lost':
        return request.isRepeatable;
      case 'refused':
        return (
          ELSEWHERE_KINDS.includes(attempt.error.kind) ||
          (request.method === 'GET' && attempt.error.kind === 'peer-unavailable')
        );
      default:
        return false;
    }
  }

  private async attempt(request: DaemonRequest, daemon: string): Promise<Attempt> {
    try {
      const answer = await this.agent.request({
        origin: `http://${daemon}`,
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
      });
      return await this.readAnswer(answer, daemon);
    } catch (thrown) {
      return this.describeFailure(thrown as NodeJS.ErrnoException, request, daemon);
    }
  }

  private async readAnswer(answer: Dispatcher.ResponseData, daemon: string): Promise<Attempt> {
    const text = await answer.body.text();
    const body = DaemonTransport.parseJson(text);
    if (answer.statusCode >= CLIENT_ERROR_STATUS) {
      const nowMs = this.options.clock.wallMs();
      return { type: 'refused', error: fromErrorBody(body, answer.statusCode, nowMs) };
    }
    if (body !== undefined) return { type: 'answered', value: body };
    const message = `${daemon} answered with status ${answer.statusCode} and without JSON.`;
    return { type: 'refused', error: new RattanliftError({ kind: 'internal', message }) };
  }

  private describeFailure(
    cause: NodeJS.ErrnoException,
    request: DaemonRequest,
    daemon: string,
  ): Attempt {
    if (UNSENT_CODES.includes(cause.code ?? '')) {
      const message = `${daemon} cannot be reached, so nothing was sent to it`;
      const error = new RattanliftError({ kind: 'peer-unavailable', message, cause });
      return { type: 'unsent', error };
    }
    const silence = `${daemon} broke off, or was silent for ${this.options.silenceLimitMs} ms`;
    const isRead = request.method === 'GET';
    const error = new RattanliftError({
      kind: isRead ? 'peer-unavailable' : 'outcome-unknown',
      message: isRead ? silence : `${silence}; what was asked of it may have been done`,
      cause,
    });
    return { type: 'lost', error };
  }

  private static parseJson(text: string): unknown {
    try {
      return JSON.parse(text);
    } catch {
      return undefined;
    }
  }
}
