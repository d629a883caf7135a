import { describe, expect, it } from 'vitest';
import { type ErrorKind, RattanliftError } from '../../src/errors/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import type { QueueConfiguration } from '../../src/queues/index.js';
import type { JobGateway } from '../../src/taskHome/index.js';
import { ManualClock } from '../../src/utils/index.js';
import { createCallerEdge } from '../../platform/createCallerEdge.js';

const JOB_PATH = '/saves/5c0e7a21d94b36f8';
const BODY = JSON.stringify({ spec: 's', steps: [{ count: 1 }] });
const terms = {
  queue: 'saves',
  pool: 'pages',
  priority: 0,
  maxAttempts: 1,
  stretch: 1,
  targetDurationMs: 0,
};
const CONFIGURATION: QueueConfiguration = {
  version: 1,
  queues: [
    { host: 'wiki.example', pathPrefix: '/saves/', terms },
    { host: 'wiki.example', pathPrefix: '/advised/', terms: { ...terms, needsAdvice: true } },
  ],
  pools: [],
};

type Gateway = Pick<JobGateway, 'submit' | 'getState' | 'cancel' | 'countPending'>;

function createEdge(
  gateway: Partial<Gateway> = {},
  configuration: QueueConfiguration | undefined = CONFIGURATION,
) {
  const whole: Gateway = {
    submit: async () => undefined,
    getState: async () => 'running',
    cancel: async () => true,
    countPending: async () => 12,
    ...gateway,
  };
  const edge = createCallerEdge({
    gateway: whole as JobGateway,
    getConfiguration: () => configuration,
    clock: new ManualClock(),
    events: new MemoryEventLog(),
  });
  return async (method: 'GET' | 'POST' | 'DELETE', url: string, body = BODY) => {
    const headers = { host: 'wiki.example', 'content-type': 'application/json' };
    const payload = method === 'POST' ? { payload: body } : {};
    const answer = await edge.inject({ method, url, headers, ...payload });
    return { status: answer.statusCode, body: answer.body, retry: answer.headers['retry-after'] };
  };
}

const failing = (kind: ErrorKind) => () =>
  Promise.reject(new RattanliftError({ kind, message: kind }));

describe('createCallerEdge', () => {
  it('accepts, tells, counts and cancels', async () => {
    const send = createEdge();
    expect(await send('POST', JOB_PATH)).toMatchObject({ status: 200 });
    expect(await send('GET', JOB_PATH)).toMatchObject({ status: 200, body: '{"state":"running"}' });
    expect(await send('GET', '/saves/')).toMatchObject({ status: 200, body: '{"pending":12}' });
    expect(await send('DELETE', JOB_PATH)).toMatchObject({ status: 200 });
  });

  it('answers 410 only where there certainly is no such job', async () => {
    const sure = createEdge({ getState: async () => undefined, cancel: async () => false });
    expect(await sure('GET', JOB_PATH)).toMatchObject({ status: 410 });
    expect(await sure('DELETE', JOB_PATH)).toMatchObject({ status: 410 });
    const unsure = createEdge({ getState: failing('home-unavailable') });
    expect(await unsure('GET', JOB_PATH)).toMatchObject({ status: 503 });
  });

  // A save was lost: its caller was told to come back in 10 s, which is longer than the store was
  // away and than the caller would wait; 2 s is half of an outage.
  // A receipt came twice: the first submission was refused with 503 though the store had taken it,
  // so the member handed it in anew under another id. Cause: doubt was told as "not run".
  it('refuses with 503 only what was not stored, and names the time to come back', async () => {
    const refused = createEdge({ submit: failing('log-unavailable') });
    expect(await refused('POST', JOB_PATH)).toMatchObject({ status: 503, retry: '2' });
    const inDoubt = createEdge({ submit: failing('outcome-unknown') });
    expect(await inDoubt('POST', JOB_PATH)).toMatchObject({ status: 504, retry: undefined });
  });

  it('answers 404 for no queue, and 503 before it has a configuration', async () => {
    expect(await createEdge()('GET', '/none/')).toMatchObject({ status: 404 });
    const edge = createCallerEdge({
      gateway: {} as JobGateway,
      getConfiguration: () => undefined,
      clock: new ManualClock(),
      events: new MemoryEventLog(),
    });
    const answer = await edge.inject({ method: 'GET', url: '/saves/' });
    expect(answer.statusCode).toBe(503);
  });

  it('answers 400 with the field for malformed jobs and ids', async () => {
    const send = createEdge();
    expect((await send('POST', JOB_PATH, '{"spec":"s"}')).body).toContain('"field":"steps"');
    expect(await send('POST', '/saves/short')).toMatchObject({ status: 400 });
  });

  it('refuses queues whose targets need tickets at once', async () => {
    const answer = await createEdge()('POST', '/advised/5c0e7a21d94b36f8');
    expect(answer).toMatchObject({ status: 503, retry: '5' });
  });
});
