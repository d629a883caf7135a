import { connect } from 'node:net';
import { PassThrough, Readable } from 'node:stream';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { Agent, request } from 'undici';
import { RattanliftError } from '../../src/errors/index.js';
import { type CallerServer, exchangeBytes, NOW_MS, startCallerServer } from './callerServer.js';
import { answerText } from './FakeEntry.js';

const JOBS = '/v1/pools/wiki/editors/jobs';
const LONG_MS = 30_000;
const agents: Agent[] = [];
const servers: CallerServer[] = [];

async function start(options = {}): Promise<CallerServer> {
  const started = await startCallerServer(options);
  servers.push(started);
  return started;
}

type Headers = Record<string, string | string[]>;

interface Sent {
  readonly method?: string;
  readonly headers?: Headers;
  readonly body?: string | Buffer | null;
}

async function send({ url }: CallerServer, path: string, options: Sent = {}) {
  const { method = 'POST', headers = {}, body = 'x' } = options;
  const dispatcher = new Agent({ pipelining: 1 });
  agents.push(dispatcher);
  const sent: Headers = { 'Rattanlift-Kind': 'page-save', ...headers };
  const reply = await request(`${url}${path}`, {
    method: method as 'POST',
    headers: sent,
    body: method === 'GET' ? null : body,
    dispatcher,
  });
  const text = await reply.body.text();
  const type = String(reply.headers['content-type']);
  return {
    status: reply.statusCode,
    headers: reply.headers,
    text,
    json: type.startsWith('application/json') ? JSON.parse(text) : undefined,
  };
}

function* endlessPages() {
  while (true) yield Buffer.alloc(100_000);
}

afterEach(async () => {
  await Promise.all(agents.splice(0).map((agent) => agent.destroy()));
  await Promise.all(servers.splice(0).map(({ server }) => server.close()));
});

describe('POST jobs', () => {
  it('hands on all that the caller said', async () => {
    const server = await start();
    const reply = await send(server, JOBS, {
      headers: {
        'Rattanlift-Request-Id': 'save-1',
        'Rattanlift-Team': 'crews',
        'Rattanlift-Deadline-Ms': String(NOW_MS + 5000),
        'Rattanlift-Urgency': 'urgent',
        'Rattanlift-Core-Count': '0.5',
        'Rattanlift-Memory-Mb': '64',
        'Rattanlift-Non-Idempotent': 'true',
        'Content-Type': 'application/x-page; part=1',
      },
      body: 'page',
    });
    expect(reply).toMatchObject({
      status: 200,
      text: 'ran page',
      headers: {
        'rattanlift-outcome': 'run',
        'rattanlift-request-id': 'save-1',
        'rattanlift-vm': 'vm-1',
      },
    });
    expect(server.entry.submissions).toMatchObject([
      {
        requestId: 'save-1',
        pool: 'wiki/editors',
        team: 'crews',
        jobKind: 'page-save',
        idempotent: false,
        missingHeader: undefined,
        urgency: 'urgent',
        coreCount: 0.5,
        memoryMb: 64,
        deadlineAtMs: NOW_MS + 5000,
        contentType: 'application/x-page; part=1',
        body: Buffer.from('page'),
      },
    ]);
  });

  it('fills in what an idempotent job may leave out', async () => {
    const server = await start();
    expect(await send(server, JOBS, { body: null })).toMatchObject({
      text: 'ran ',
      headers: { 'rattanlift-request-id': 'made' },
    });
    expect(server.entry.submissions).toMatchObject([
      {
        requestId: 'made',
        team: 'wiki',
        idempotent: undefined,
        missingHeader: 'Rattanlift-Request-Id',
        deadlineAtMs: NOW_MS + 60_000,
        contentType: 'application/octet-stream',
      },
    ]);
  });

  const nonIdempotent = { 'Rattanlift-Non-Idempotent': 'true', 'Rattanlift-Request-Id': 'a' };
  const soon = String(NOW_MS + 1000);
  it.each([
    [400, 'Rattanlift-Kind', { 'Rattanlift-Kind': '' }],
    [400, 'Rattanlift-Kind', { 'Rattanlift-Kind': ['a', 'b'] }],
    [400, 'Rattanlift-Request-Id', { 'Rattanlift-Request-Id': 'a b' }],
    [400, 'Rattanlift-Request-Id', { 'Rattanlift-Request-Id': 'a'.repeat(129) }],
    [400, 'Rattanlift-Request-Id', { 'Rattanlift-Request-Id': ['a', 'a'] }],
    [400, 'Rattanlift-Team', { 'Rattanlift-Team': '../x' }],
    [400, 'Rattanlift-Urgency', { 'Rattanlift-Urgency': 'soon' }],
    [400, 'Rattanlift-Core-Count', { 'Rattanlift-Core-Count': '0' }],
    [400, 'Rattanlift-Core-Count', { 'Rattanlift-Core-Count': '1e9' }],
    [400, 'Rattanlift-Memory-Mb', { 'Rattanlift-Memory-Mb': '-1' }],
    [400, 'Rattanlift-Memory-Mb', { 'Rattanlift-Memory-Mb': 'NaN' }],
    [400, 'Rattanlift-Non-Idempotent', { 'Rattanlift-Non-Idempotent': 'yes' }],
    [400, 'rattanlift-non-idempotant', { 'Rattanlift-Non-Idempotant': 'true' }],
    [400, 'Rattanlift-Deadline-Ms', { 'Rattanlift-Deadline-Ms': 'tomorrow' }],
    [400, 'Rattanlift-Deadline-Ms', { 'Rattanlift-Deadline-Ms': String(NOW_MS + 86_400_001) }],
    [422, 'Rattanlift-Deadline-Ms', { 'Rattanlift-Deadline-Ms': String(NOW_MS) }],
    [400, 'Rattanlift-Deadline-Ms', nonIdempotent],
    [400, 'Rattanlift-Request-Id', { ...nonIdempotent, 'Rattanlift-Request-Id': '' }],
    [
      400,
      'Rattanlift-Request-Id',
      { 'Rattanlift-Non-Idempotent': 'true', 'Rattanlift-Deadline-Ms': soon },
    ],
    [400, 'Content-Encoding', { 'Content-Encoding': 'gzip' }],
    [415, 'Content-Type', { 'Content-Type': 'text' }],
  ])('answers %i and names %s for %o', async (status, field, headers) => {
    const server = await start();
    const reply = await send(server, JOBS, { headers });
    expect(reply).toMatchObject({ status, json: { field, outcome: 'not-run' } });
    expect(reply.headers['rattanlift-outcome']).toBe('not-run');
    expect(reply.headers['rattanlift-request-id']).toBe(reply.json.requestId);
    expect(server.entry.submissions).toEqual([]);
  });

  it.each([
    [400, 'pool', 'POST', '/v1/pools/wiki/Editors/jobs'],
    [400, 'team', 'POST', '/v1/pools/%00/editors/jobs'],
    [400, 'path', 'POST', '/v1/pools/%zz/editors/jobs'],
    [414, 'path', 'GET', `/v1/jobs/${'j'.repeat(301)}`],
    [400, 'wait', 'POST', `${JOBS}?wait=maybe`],
    [400, 'wait', 'POST', `${JOBS}?wait=true&wait=false`],
    [400, 'wiat', 'POST', `${JOBS}?wiat=false`],
    [400, '__proto__', 'POST', `${JOBS}?__proto__=1`],
    [400, 'wait', 'GET', '/v1/jobs/i~1?wait=true'],
    [404, 'path', 'POST', '/v1/pools/wiki/jobs'],
    [404, 'path', 'GET', '/'],
    [405, 'method', 'PUT', JOBS],
    [405, 'method', 'POST', '/v1/jobs/i~1'],
    [405, 'method', 'DELETE', '/healthz'],
  ])('answers %i and names %s for %s %s', async (status, field, method, path) => {
    const server = await start();
    const reply = await send(server, path, { method });
    expect(reply).toMatchObject({ status, json: { kind: 'bad-request', field } });
    expect(server.entry.submissions).toEqual([]);
  });

  it('refuses a body over the limit', async () => {
    const server = await start({ bodyLimitBytes: 1000 });
    expect(await send(server, JOBS, { body: Buffer.alloc(1000) })).toMatchObject({ status: 200 });
    expect(await send(server, JOBS, { body: Buffer.alloc(1001) })).toMatchObject({
      status: 413,
      json: { kind: 'body-too-large', outcome: 'not-run', field: 'body' },
    });
  });

  it('tells the outcome, the reason and when to come back', async () => {
    const server = await start();
    server.entry.runWith = async ({ requestId }) => ({
      type: 'failed',
      requestId,
      outcome: 'unknown',
      error: new RattanliftError({
        kind: 'queue-full',
        message: 'Too many jobs wait.',
        retryAtMs: NOW_MS + 2001,
      }),
    });
    expect(await send(server, JOBS)).toMatchObject({
      status: 429,
      headers: { 'retry-after': '3', 'rattanlift-outcome': 'unknown' },
      json: {
        kind: 'queue-full',
        outcome: 'unknown',
        message: 'Too many jobs wait.',
        requestId: 'made',
        retryAfterS: 3,
      },
    });
  });

  it('hides the particulars of an unexpected error, logs them and goes on', async () => {
    const server = await start();
    server.entry.runWith = async () => {
      throw new TypeError('secret');
    };
    const reply = await send(server, JOBS);
    expect(reply).toMatchObject({ status: 500, json: { kind: 'internal', outcome: 'unknown' } });
    expect(reply.text).not.toContain('secret');
    expect(server.events.events).toMatchObject([{ event: 'unexpectedError' }]);
    expect(await send(server, '/healthz', { method: 'GET' })).toMatchObject({ status: 200 });
  });

  it('breaks the connection off when the answer ends early', async () => {
    // A target dies half-way through a page. Were the answer ended in due form, the caller would
    // take half of the page, with status 200, for the whole.
    const server = await start();
    const body = new PassThrough();
    server.entry.runWith = async ({ requestId }) => answerText(requestId, body);
    body.write('half of the pa');
    const received = exchangeBytes(
      server.port,
      `POST ${JOBS} HTTP/1.1\r\nHost: a\r\nRattanlift-Kind: k\r\nContent-Length: 0\r\n\r\n`,
    );
    await vi.waitFor(() => expect(body.readableLength).toBe(0), LONG_MS);
    body.destroy(new Error('the target is gone'));
    expect(await received).toContain('half of the pa');
    expect(await received).not.toContain('\r\n0\r\n');
    expect(server.events.events).toMatchObject([{ event: 'answerCut' }]);
  });

  it('takes no job over HTTP/1.0, whose clients cannot tell a cut answer', async () => {
    const server = await start();
    const received = await exchangeBytes(
      server.port,
      `POST ${JOBS} HTTP/1.0\r\nRattanlift-Kind: k\r\nContent-Length: 0\r\n\r\n`,
    );
    expect(received).toContain('"field":"HTTP version"');
    expect(server.entry.submissions).toEqual([]);
  });

  it('aborts the job when its caller goes away', async () => {
    // A caller closes its connection while its export waits in the queue. Without an abort the
    // export would hold a slot for an answer that nobody reads.
    const server = await start();
    const aborted = new Promise((resolve) => {
      server.entry.runWith = ({ requestId, signal }) =>
        new Promise((answer) => {
          signal.addEventListener('abort', () => {
            resolve('aborted');
            answer(answerText(requestId, 'late'));
          });
        });
    });
    const caller = new AbortController();
    const call = fetch(`${server.url}${JOBS}`, {
      method: 'POST',
      headers: { 'Rattanlift-Kind': 'export' },
      signal: caller.signal,
    });
    await vi.waitFor(() => expect(server.entry.submissions).toHaveLength(1), LONG_MS);
    caller.abort();
    await expect(call).rejects.toThrow();
    expect(await aborted).toBe('aborted');
  });

  it('gives up an answer that its caller does not take', async () => {
    // A middlebox forgets the connection while a committee pack streams over it. The caller's end
    // sends neither a reset nor an acknowledgement, and the export would hold its slot for long.
    const server = await start();
    const body = Readable.from(endlessPages());
    server.entry.runWith = async ({ requestId }) => answerText(requestId, body);
    const ended = new Promise((resolve) => {
      body.on('close', resolve);
    });
    const socket = connect(server.port, '127.0.0.1');
    socket.on('error', () => {});
    socket.pause();
    socket.write(
      `POST ${JOBS} HTTP/1.1\r\nHost: a\r\nRattanlift-Kind: k\r\nContent-Length: 0\r\n\r\n`,
    );
    await ended;
    socket.destroy();
    expect(server.events.events).toMatchObject([{ event: 'answerCut' }]);
  });

  it('waits for a target that is slow to send', async () => {
    const server = await start();
    const body = new PassThrough();
    server.entry.runWith = async ({ requestId }) => answerText(requestId, body);
    const reply = send(server, JOBS);
    body.write('slow ');
    await new Promise((resolve) => {
      setTimeout(resolve, 300);
    });
    body.end('answer');
    expect(await reply).toMatchObject({ text: 'slow answer' });
  });

  it('does not abort a job whose caller has its whole answer', async () => {
    const server = await start();
    await send(server, JOBS);
    await server.server.close();
    expect(server.entry.submissions[0]!.signal.aborted).toBe(false);
  });

  it('gives each caller its own answer when answers come in another order', async () => {
    // Three callers wait at once and the targets answer in the reverse order. Each caller must
    // get what belongs to its own request, whichever connection became free first.
    const server = await start();
    const held = new Map<string, () => void>();
    server.entry.runWith = ({ requestId, body }) =>
      new Promise((resolve) => {
        held.set(requestId, () => resolve(answerText(requestId, `for ${body.toString()}`)));
      });
    const calls = ['a', 'b', 'c'].map((id) =>
      send(server, JOBS, { headers: { 'Rattanlift-Request-Id': id }, body: id }),
    );
    await vi.waitFor(() => expect(held.size).toBe(3), LONG_MS);
    ['c', 'b', 'a'].forEach((id) => held.get(id)!());
    expect((await Promise.all(calls)).map(({ text }) => text)).toEqual(['for a', 'for b', 'for c']);
  });
});

describe('submitted jobs', () => {
  it('are answered at once, found and cancelled by their id', async () => {
    const server = await start();
    const submitted = await send(server, `${JOBS}?wait=false`);
    expect(submitted).toMatchObject({
      status: 202,
      headers: { location: '/v1/jobs/i~1', 'rattanlift-outcome': 'unknown' },
      json: { jobId: 'i~1', phase: 'waiting' },
    });
    const path = submitted.headers.location as string;
    const finished = { status: 200, headers: { 'rattanlift-outcome': 'run' } };
    expect(await send(server, path, { method: 'GET' })).toMatchObject(finished);
    expect(await send(server, path, { method: 'DELETE' })).toMatchObject(finished);
    expect(await send(server, '/v1/jobs/x', { method: 'GET' })).toMatchObject({
      status: 404,
      json: { kind: 'unknown-job', outcome: 'unknown' },
    });
  });
});
