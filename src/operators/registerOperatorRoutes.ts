import type { FastifyError, FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import {
  ERROR_ANSWERS,
  type ErrorKind,
  RattanliftError,
  throwError,
  toRattanliftError,
} from '../errors/index.js';
import type { EventLog } from '../logging/index.js';
import { checkTeamSettings, formatProblem } from '../settings/index.js';
import { type Clock, SystemClock } from '../utils/index.js';
import { type ErrorBody, toErrorBody } from './ErrorBody.js';
import type { OperatorPort, SettingsView } from './OperatorPort.js';
import { parseRequestOrThrow } from './parseRequestOrThrow.js';
import {
  explainQuerySchema,
  historyQuerySchema,
  orderRequestSchema,
  publishRequestSchema,
  waveRequestSchema,
} from './requestSchemas.js';

/** Path that everything for operators begins with. */
export const OPERATOR_PREFIX = '/operators/v1';

const BODY_LIMIT_BYTES = 1024 * 1024;
const CLIENT_ERROR_STATUS = 400;
const SERVER_ERROR_STATUS = 500;

const KINDS_BY_FASTIFY_CODE: Readonly<Record<string, ErrorKind>> = {
  FST_ERR_CTP_BODY_TOO_LARGE: 'body-too-large',
};

/** Names the kind of an error that the HTTP library raised itself. */
function kindOf(error: Partial<FastifyError>): ErrorKind {
  const status = error.statusCode ?? SERVER_ERROR_STATUS;
  const isCallersFault = status >= CLIENT_ERROR_STATUS && status < SERVER_ERROR_STATUS;
  return KINDS_BY_FASTIFY_CODE[error.code ?? ''] ?? (isCallersFault ? 'bad-request' : 'internal');
}

/** Sends the answer that the table has for an error. */
function sendError(reply: FastifyReply, body: ErrorBody): FastifyReply {
  if (body.retryAfterS !== undefined) void reply.header('Retry-After', body.retryAfterS);
  return reply.code(ERROR_ANSWERS[body.kind].httpStatus).send(body);
}

/** Checks a document before it costs a record, then publishes it. */
async function publish(
  request: FastifyRequest,
  reply: FastifyReply,
  port: OperatorPort,
): Promise<SettingsView | FastifyReply> {
  const { fileName, ...publication } = parseRequestOrThrow(publishRequestSchema, request.body);
  const checked = checkTeamSettings(publication.document, fileName);
  if (checked.type === 'valid') return port.publishSettings(publication);
  const { problems } = checked;
  const message = problems.map(formatProblem).join('\n');
  const error = new RattanliftError({ kind: 'settings-invalid', message, field: 'document' });
  return sendError(reply, { ...toErrorBody(error, 0), problems });
}

/** Adds the routes that only read. */
function addReadRoutes(scope: FastifyInstance, port: OperatorPort): void {
  scope.get('/settings', async () => port.listSettings());
  scope.get('/settings/history', async ({ query }) =>
    port.listPublications(parseRequestOrThrow(historyQuerySchema, query).team),
  );
  scope.get('/pools', async () => port.listPools());
  scope.get('/vms', async () => port.listVms());
  scope.get('/instances', async () => port.listInstances());
  scope.get('/waves', async () => port.listWaves());
  scope.get<{ Params: { readonly wave: string } }>('/waves/:wave', async ({ params }) =>
    port.getWave(params.wave),
  );
  scope.get('/explain', async ({ query }) =>
    port.explain(parseRequestOrThrow(explainQuerySchema, query).subject),
  );
}

/** Adds the routes that change something. */
function addWriteRoutes(scope: FastifyInstance, port: OperatorPort): void {
  scope.post('/settings', async (request, reply) => publish(request, reply, port));
  scope.post<{ Params: { readonly vm: string } }>('/vms/:vm/drain', async ({ params, body }) =>
    port.drainVm(params.vm, parseRequestOrThrow(orderRequestSchema, body).author),
  );
  scope.post<{ Params: { readonly vm: string } }>('/vms/:vm/undrain', async ({ params, body }) =>
    port.undrainVm(params.vm, parseRequestOrThrow(orderRequestSchema, body).author),
  );
  scope.post('/waves', async ({ body }) => {
    const { pools, author } = parseRequestOrThrow(waveRequestSchema, body);
    return port.startWave(pools, author);
  });
  scope.post<{ Params: { readonly wave: string } }>(
    '/waves/:wave/pause',
    async ({ params, body }) =>
      port.pauseWave(params.wave, parseRequestOrThrow(orderRequestSchema, body).author),
  );
  scope.post<{ Params: { readonly wave: string } }>(
    '/waves/:wave/resume',
    async ({ params, body }) =>
      port.resumeWave(params.wave, parseRequestOrThrow(orderRequestSchema, body).author),
  );
}

/** Reads JSON bodies, whatever other parts of the server make of the same media type. */
function addJsonParser(scope: FastifyInstance): void {
  scope.removeAllContentTypeParsers();
  scope.addContentTypeParser(
    'application/json',
    { parseAs: 'string' },
    scope.getDefaultJsonParser('error', 'error'),
  );
}

/** Makes every failure an answer of the table, in this scope only. */
function addErrorHandlers(
  scope: FastifyInstance,
  clock: Clock,
  events: EventLog | undefined,
): void {
  scope.setErrorHandler<Partial<FastifyError>>((thrown, request, reply) => {
    const error = toRattanliftError(thrown, kindOf(thrown));
    if (error.kind === 'internal') {
      events?.write('unexpectedError', { requestId: request.id, error: String(thrown) });
    }
    return sendError(reply, toErrorBody(error, clock.wallMs()));
  });
  scope.setNotFoundHandler((request) =>
    throwError('bad-request', `There is no ${request.method} ${request.url}.`, { field: 'path' }),
  );
}

/**
 * Adds the operators' interface to a daemon's HTTP server.
 * @param fastify - The server, before it listens.
 * @param port - What the operators do and ask.
 * @param clock - Clock that `Retry-After` is counted from.
 * @param events - Log for errors that nobody expected.
 * @returns A promise that resolves once the routes are there.
 */
export async function registerOperatorRoutes(
  fastify: FastifyInstance,
  port: OperatorPort,
  clock: Clock = new SystemClock(),
  events?: EventLog,
): Promise<void> {
  await fastify.register(
    async (scope) => {
      scope.addHook('onRoute', (route) => {
        // eslint-disable-next-line no-param-reassign -- how the library takes a scope's limit
        route.bodyLimit = BODY_LIMIT_BYTES;
      });
      addJsonParser(scope);
      addErrorHandlers(scope, clock, events);
      addReadRoutes(scope, port);
      addWriteRoutes(scope, port);
    },
    { prefix: OPERATOR_PREFIX },
  );
}
