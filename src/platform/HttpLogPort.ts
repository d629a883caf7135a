import { z } from 'zod';
import { throwError, toRattanliftError } from '../errors/index.js';
import { HttpJsonClient, type JsonAnswer, type JsonRequest } from '../utils/index.js';
import type { LogPort, LogReadOptions, LogReadResult } from './LogPort.js';

const DEFAULT_TIMEOUT_MS = 3000;
const HTTP_OK = 200;
const HTTP_GONE = 410;

const appendedSchema = z.object({ firstOffset: z.int().nonnegative() });
const truncatedSchema = z.object({ firstOffset: z.int().nonnegative() });
const entriesSchema = z.object({
  entries: z
    .array(z.object({ offset: z.int().nonnegative(), payload: z.unknown() }).readonly())
    .readonly(),
  endOffset: z.int().nonnegative(),
});

function throwUnexpected(answer: JsonAnswer): never {
  throwError('log-unavailable', `The log service answered with status ${answer.httpStatus}.`);
}

function parseAnswer<Output>(schema: z.ZodType<Output>, answer: JsonAnswer): Output {
  const parsed = schema.safeParse(answer.body);
  if (parsed.success) return parsed.data;
  const what = z.prettifyError(parsed.error);
  return throwError('log-unavailable', `The log service answered in another form: ${what}`);
}

/** Options of {@link HttpLogPort}. */
export interface HttpLogPortOptions {
  readonly host: string;
  readonly port: number;
  /** Longest wait for an answer on top of what a read allows, in milliseconds. */
  readonly timeoutMs?: number;
}

/** The platform's log service over HTTP; it repeats nothing by itself. */
export class HttpLogPort implements LogPort {
  private readonly client: HttpJsonClient;

  private readonly timeoutMs: number;

  /**
   * Creates a client of the log service.
   * @param options - Address and timeout.
   */
  constructor(options: HttpLogPortOptions) {
    this.client = new HttpJsonClient(options);
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  /** {@inheritDoc LogPort.append} */
  async append(stream: string, payloads: readonly unknown[]): Promise<number> {
    const answer = await this.send({
      method: 'POST',
      path: HttpLogPort.pathOf(stream),
      body: { records: payloads },
      timeoutMs: this.timeoutMs,
    });
    if (answer.httpStatus !== HTTP_OK) throwUnexpected(answer);
    return parseAnswer(appendedSchema, answer).firstOffset;
  }

  /** {@inheritDoc LogPort.read} */
  async read(options: LogReadOptions): Promise<LogReadResult> {
    const { stream, fromOffset, maxCount, waitMs } = options;
    const answer = await this.send({
      method: 'GET',
      path: `${HttpLogPort.pathOf(stream)}?fromOffset=${fromOffset}&maxCount=${maxCount}&waitMs=${waitMs}`,
      timeoutMs: waitMs + this.timeoutMs,
    });
    switch (answer.httpStatus) {
      case HTTP_OK:
        return { type: 'entries', ...parseAnswer(entriesSchema, answer) };
      case HTTP_GONE:
        return { type: 'truncated', ...parseAnswer(truncatedSchema, answer) };
      default:
        return throwUnexpected(answer);
    }
  }

  /** Ends every connection; calls in progress fail. */
  async close(): Promise<void> {
    await this.client.close();
  }

  private static pathOf(stream: string): string {
    return `/v1/streams/${encodeURIComponent(stream)}/records`;
  }

  private async send(request: JsonRequest): Promise<JsonAnswer> {
    try {
      return await this.client.send(request);
    } catch (error) {
      throw toRattanliftError(error, 'log-unavailable');
    }
  }
}
