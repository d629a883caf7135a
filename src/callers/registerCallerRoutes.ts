import type { ServerResponse } from 'node:http';
import type { FastifyInstance, FastifyReply, FastifyRequest, HTTPMethods } from 'fastify';
import { RattanliftError, throwError } from '../errors/index.js';
import type { EventLog } from '../logging/index.js';
import { type Clock, SystemClock } from '../utils/index.js';
import { ANSWER_HEADERS } from './callerHeaders.js';
import type { EntryPort, JobState, JobSubmission } from './EntryPort.js';
import { parseBoolean } from './headerValues.js';
import { parseSubmission } from './parseSubmission.js';
import { sendAnswer } from './sendAnswer.js';
import { sendError } from './sendError.js';

const JOBS_PATH = '/v1/pools/:team/:pool/jobs';
const JOB_PATH = '/v1/jobs/:jobId';
const HEALTH_PATH = '/healthz';
const WAIT_PARAMETER = 'wait';
const DEFAULT_STALL_LIMIT_MS = 30_000;
const METHODS: readonly HTTPMethods[] = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'];

/** Options of {@link registerCallerRoutes}. */
export interface CallerRoutesOptions {
  readonly clock?: Clock;
  readonly events?: EventLog;
  /** Longest time for which a caller may take nothing of its answer, in milliseconds. */
  readonly stallLimitMs?: number;
}

interface RouteContext {
  readonly entry: EntryPort;
  readonly clock: Clock;
  readonly events: EventLog | undefined;
  readonly stallLimitMs: number;
}

type Query = Readonly<Record<string, string | readonly string[]>>;

/** Reads the query, which may only hold the parameters of a route, each once. */
function readQuery(
  request: FastifyRequest,
  known: readonly string[],
): Readonly<Map<string, string>> {
  const entries = Object.entries(request.query as Query);
  const unknown = entries.find(([name]) => !known.includes(name));
  if (unknown) {
    throwError('bad-request', `There is no query parameter ${JSON.stringify(unknown[0])} here.`, {
      field: unknown[0],
    });
  }
  const repeated = entries.find(([, value]) => typeof value !== 'string');
  if (repeated) {
    throwError('bad-request', `The query parameter ${repeated[0]} comes more than once.`, {
      field: repeated[0],
    });
  }
  return new Map(entries as [string, string][]);
}

/**
 * Guards against cut answers that look complete: HTTP/1.0 has no chunks, and its clients take the
 * end of the connection for the end of the answer, whatever the cause.
 */
function checkHttpVersion(request: FastifyRequest): void {
  if (request.raw.httpVersion !== '1.0') return;
  throwError('bad-request', 'Jobs are only taken over HTTP/1.1.', { field: 'HTTP version' });
}

function readSubmission(request: FastifyRequest, clock: Clock): Omit<JobSubmission, 'signal'> {
  const { team, pool } = request.params as { readonly team: string; readonly pool: string };
  const { rawHeaders } = request.raw;
  const nowMs = clock.wallMs();
  const body = (request.body as Buffer | undefined) ?? Buffer.alloc(0);
  return {
    ...parseSubmission({ rawHeaders, team, pool, spareRequestId: request.id, nowMs }),
    body,
  };
}

/** Makes the signal that aborts when a caller goes away before its answer is complete. */
function createCallerSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  if (response.destroyed) controller.abort();
  response.once('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}

function sendState(reply: FastifyReply, state: JobState, httpStatus: number): void {
  void reply
    .code(httpStatus)
    .header(ANSWER_HEADERS.outcome, state.outcome ?? 'unknown')
    .header(ANSWER_HEADERS.requestId, state.requestId)
    .type('application/json; charset=utf-8')
    .send(JSON.stringify(state));
}

async function submitJob(
  context: RouteContext,
  submission: Omit<JobSubmission, 'signal'>,
  reply: FastifyReply,
): Promise<void> {
  const state = await context.entry.submit({ ...submission, signal: new AbortController().signal });
  void reply.header('Location', `/v1/jobs/${encodeURIComponent(state.jobId)}`);
  sendState(reply, state, 202);
}

async function runJob(
  { entry, clock, events, stallLimitMs }: RouteContext,
  submission: Omit<JobSubmission, 'signal'>,
  reply: FastifyReply,
): Promise<void> {
  const answer = await entry.run({ ...submission, signal: createCallerSignal(reply.raw) });
  if (answer.type === 'answered') {
    await sendAnswer(reply, answer, { stallLimitMs, events });
    return;
  }
  sendError(reply, answer.error, { nowMs: clock.wallMs(), outcome: answer.outcome });
}

async function handleJob(
  context: RouteContext,
  request: FastifyRequest,
  reply: FastifyReply,
): Promise<FastifyReply> {
  checkHttpVersion(request);
  const wait = readQuery(request, [WAIT_PARAMETER]).get(WAIT_PARAMETER) ?? 'true';
  const submission = readSubmission(request, context.clock);
  const handle = parseBoolean(WAIT_PARAMETER, wait) ? runJob : submitJob;
  await handle(context, submission, reply);
  return reply;
}

/** Answers the methods that a path does not have. */
function registerOtherMethods(
  server: FastifyInstance,
  clock: Clock,
  url: string,
  known: readonly HTTPMethods[],
): void {
  server.route({
    method: METHODS.filter((method) => !known.includes(method)),
    url,
    handler: (request, reply) => {
      const message = `The path takes ${known.join(' and ')}, not ${request.method}.`;
      const error = new RattanliftError({ kind: 'bad-request', message, field: 'method' });
      void reply.header('Allow', known.join(', '));
      sendError(reply, error, { nowMs: clock.wallMs(), httpStatus: 405 });
    },
  });
}

function registerJobRoutes(server: FastifyInstance, context: RouteContext): void {
  const { entry } = context;
  const jobIdOf = (request: FastifyRequest): string => {
    readQuery(request, []);
    return (request.params as { readonly jobId: string }).jobId;
  };
  server.post(JOBS_PATH, (request, reply) => handleJob(context, request, reply));
  server.get(JOB_PATH, async (request, reply) => {
    sendState(reply, await entry.getJob(jobIdOf(request)), 200);
    return reply;
  });
  server.delete(JOB_PATH, async (request, reply) => {
    sendState(reply, await entry.cancelJob(jobIdOf(request)), 200);
    return reply;
  });
}

/**
 * Registers what callers may ask: jobs, their state, and the health of the instance.
 * @param server - Server of {@link createHttpServer}.
 * @param entry - What runs the jobs.
 * @param options - Clock and log.
 */
export function registerCallerRoutes(
  server: FastifyInstance,
  entry: EntryPort,
  options: CallerRoutesOptions = {},
): void {
  const { clock = new SystemClock(), events, stallLimitMs = DEFAULT_STALL_LIMIT_MS } = options;
  registerJobRoutes(server, { entry, clock, events, stallLimitMs });
  server.get(HEALTH_PATH, (request, reply) => {
    readQuery(request, []);
    void reply
      .header(ANSWER_HEADERS.outcome, 'not-run')
      .header(ANSWER_HEADERS.requestId, request.id)
      .send({ status: 'ok' });
  });
  registerOtherMethods(server, clock, JOBS_PATH, ['POST']);
  registerOtherMethods(server, clock, JOB_PATH, ['GET', 'DELETE']);
  registerOtherMethods(server, clock, HEALTH_PATH, ['GET']);
}
