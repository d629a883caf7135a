import { randomUUID } from 'node:crypto';
import type { Socket } from 'node:net';
import { fastify, type FastifyInstance, type FastifyRequest } from 'fastify';
import { ERROR_ANSWERS, type Outcome, RattanliftError, throwError } from '../errors/index.js';
import type { EventLog } from '../logging/index.js';
import { type Clock, SystemClock } from '../utils/index.js';
import { answerBrokenRequest } from './answerBrokenRequest.js';
import { CALLER_HEADERS } from './callerHeaders.js';
import { HeadGuard } from './HeadGuard.js';
import { isRequestId } from './headerValues.js';
import { sendError } from './sendError.js';
import { toRequestError } from './toRequestError.js';

const DEFAULT_BODY_LIMIT_BYTES = 1024 * 1024;
const DEFAULT_RECEIVE_TIMEOUT_MS = 30_000;
const DEFAULT_KEEP_ALIVE_MS = 65_000;
const TIMEOUT_CHECK_MS = 1000;
const TCP_KEEP_ALIVE_DELAY_MS = 10_000;
const MAX_PATH_PART_LENGTH = 300;

/** Options of {@link createHttpServer}. */
export interface HttpServerOptions {
  /** Largest body, in bytes. */
  readonly bodyLimitBytes?: number;
  /** Longest time for a request to arrive whole, in milliseconds. */
  readonly receiveTimeoutMs?: number;
  /** How long a connection may stay open without a request, in milliseconds. */
  readonly keepAliveMs?: number;
  readonly clock?: Clock;
  readonly events?: EventLog;
  /** Tells what is known of earlier attempts at a request; undefined where there was none. */
  readonly getEarlierOutcome?: (requestId: string) => Promise<Outcome | undefined>;
  /** Makes the ids of requests that bring none. */
  readonly createRequestId?: () => string;
}

/**
 * Stands where the framework would load compilers of JSON schemas: they cost each start 40 ms, and
 * routes here check what they are given themselves.
 */
function refuseSchemas(): never {
  return throwError('internal', 'Routes have no schemas.');
}

/** Registers a parser that hands every body on as the bytes that came. */
function useRawBodies(server: FastifyInstance): void {
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
    done(null, body);
  });
}

/**
 * Guards against "not run" for a page save that did run: its answer was lost, the caller repeats
 * it, and the repeat is refused before its id is looked up, because the instance stops, the
 * deadline has passed or a header is wrong. The refusal then tells what became of the first one.
 */
async function getRefusalOutcome(
  { kind }: RattanliftError,
  request: FastifyRequest,
  { getEarlierOutcome }: HttpServerOptions,
): Promise<Outcome> {
  const { outcome } = ERROR_ANSWERS[kind];
  const isOwnId = request.headers[CALLER_HEADERS.requestId.toLowerCase()] === request.id;
  // An id that was made here has no earlier attempt, so the log is not read for it.
  if (outcome !== 'not-run' || !isOwnId || getEarlierOutcome === undefined) return outcome;
  try {
    return (await getEarlierOutcome(request.id)) ?? outcome;
  } catch {
    return 'unknown';
  }
}

function useJsonErrors(server: FastifyInstance, clock: Clock, options: HttpServerOptions): void {
  const { events } = options;
  server.setErrorHandler<Error>(async (thrown, request, reply) => {
    const { error, httpStatus, isUnexpected } = toRequestError(thrown);
    const requestId = request.id;
    const { kind, field, message } = error;
    if (isUnexpected) events?.write('unexpectedError', { requestId, reason: String(thrown) });
    else events?.write('badInput', { requestId, kind, field, reason: message });
    const outcome = await getRefusalOutcome(error, request, options);
    sendError(reply, error, { nowMs: clock.wallMs(), httpStatus, outcome });
    return reply;
  });
  server.setNotFoundHandler((request, reply) => {
    const message = `There is no ${request.method} ${request.url}.`;
    const error = new RattanliftError({ kind: 'bad-request', message, field: 'path' });
    sendError(reply, error, { nowMs: clock.wallMs(), httpStatus: 404 });
  });
}

/**
 * Lets requests in progress end on close, and refuses those that still come on open connections;
 * a connection is closed as soon as it has nothing in progress.
 */
function useGracefulClose(server: FastifyInstance): void {
  let closing = false;
  server.addHook('preClose', (done) => {
    closing = true;
    done();
  });
  server.addHook('onRequest', (_request, reply, done) => {
    reply.raw.once('close', () => {
      if (closing) setImmediate(() => server.server.closeIdleConnections());
    });
    if (closing) {
      void reply.header('Connection', 'close');
      throwError('shutting-down', 'This instance is stopping; another one takes the request.');
    }
    done();
  });
}

/** Refuses requests with a broken head before a handler sees them, and closes their connection. */
function useHeadGuard(server: FastifyInstance, guard: HeadGuard): void {
  server.addHook('onRequest', ({ raw }, reply, done) => {
    const fault = guard.check(raw);
    if (fault === undefined) {
      done();
      return;
    }
    void reply.header('Connection', 'close');
    throwError('bad-request', `The request is broken: ${fault}.`, { field: 'request' });
  });
  // Without a listener, Node.js itself answers expectations that it does not know.
  server.server.on('checkExpectation', server.routing);
}

/** Counts the requests of each connection that are being handled. */
function countHandled(server: FastifyInstance): (socket: Socket) => number {
  const counts = new WeakMap<Socket, number>();
  const getCount = (socket: Socket): number => counts.get(socket) ?? 0;
  server.addHook('preHandler', (request, reply, done) => {
    const { socket } = request.raw;
    counts.set(socket, getCount(socket) + 1);
    reply.raw.once('close', () => counts.set(socket, getCount(socket) - 1));
    done();
  });
  return getCount;
}

/**
 * Creates the HTTP server that callers and operators reach, without routes.
 * @param options - Limits, clock and log.
 * @returns The server, which does not listen yet; its `close` lets requests in progress end.
 */
export function createHttpServer(options: HttpServerOptions = {}): FastifyInstance {
  const { clock = new SystemClock(), createRequestId = randomUUID } = options;
  const receiveTimeoutMs = options.receiveTimeoutMs ?? DEFAULT_RECEIVE_TIMEOUT_MS;
  const headGuard = new HeadGuard();
  let getHandledCount = (_socket: Socket): number => 0;
  const server = fastify({
    bodyLimit: options.bodyLimitBytes ?? DEFAULT_BODY_LIMIT_BYTES,
    requestTimeout: receiveTimeoutMs,
    keepAliveTimeout: options.keepAliveMs ?? DEFAULT_KEEP_ALIVE_MS,
    return503OnClosing: false,
    schemaController: {
      compilersFactory: { buildValidator: refuseSchemas, buildSerializer: refuseSchemas },
    },
    exposeHeadRoutes: false,
    routerOptions: { maxParamLength: MAX_PATH_PART_LENGTH },
    http: {
      // Node.js swaps the two limits where the one for headers is the longer one.
      headersTimeout: receiveTimeoutMs,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      keepAlive: true,
      keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS,
      noDelay: true,
      // Checked by the guard of heads, whose answer tells the outcome.
      requireHostHeader: false,
    },
    genReqId: (raw) => {
      const given = raw.headers[CALLER_HEADERS.requestId.toLowerCase()];
      return typeof given === 'string' && isRequestId(given) ? given : createRequestId();
    },
    frameworkErrors: (thrown, { raw }, reply) => {
      const { error, httpStatus } = toRequestError(thrown);
      if (headGuard.check(raw) !== undefined) void reply.header('Connection', 'close');
      sendError(reply, error, { nowMs: clock.wallMs(), httpStatus });
    },
    /**
     * Guards against an answer that reaches the wrong request: bytes that are no HTTP may follow
     * a request in progress on the same connection, and "bad request, not run" written now would
     * be taken for that one's answer. Its connection is broken off instead.
     */
    clientErrorHandler: (cause, socket) => {
      if (socket.writable && getHandledCount(socket) === 0) {
        answerBrokenRequest(socket, cause, createRequestId());
      } else socket.destroy();
    },
  });
  getHandledCount = countHandled(server);
  useHeadGuard(server, headGuard);
  useRawBodies(server);
  useJsonErrors(server, clock, options);
  useGracefulClose(server);
  return server;
}
