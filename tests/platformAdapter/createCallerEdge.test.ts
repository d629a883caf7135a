import { describe, expect, it, vi } from 'vitest';
import { type ErrorKind, RattanliftError } from '../../src/errors/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { digestKey, getKeyId, NO_LIMIT, type QueueConfiguration } from '../../src/queues/index.js';
import type { JobGateway } from '../../src/taskHome/index.js';
import { ManualClock } from '../../src/utils/index.js';
import { type CallerEdgeOptions, createCallerEdge } from '../../platform/createCallerEdge.js';

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
  options: Partial<CallerEdgeOptions> = {},
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
    getConfigurationAgeMs: () => 0,
    clock: new ManualClock(),
    events: new MemoryEventLog(),
    ...options,
  });
  return async (method: 'GET' | 'POST' | 'DELETE', url: string, body = BODY, key?: string) => {
    const credential = key === undefined ? {} : { credential: key };
    const headers = { host: 'wiki.example', 'content-type': 'application/json', ...credential };
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

  // Failure: callers who are refused for too much load come back before there is room for them.
  it('names the time at which a refused caller should come back, in whole seconds', async () => {
    const error = { kind: 'no-capacity', message: 'Too much work.', retryAtMs: 12_400 } as const;
    const clock = new ManualClock(5_000);
    const submit = () => Promise.reject(new RattanliftError(error));
    const refused = createEdge({ submit }, CONFIGURATION, { clock });
    expect(await refused('POST', JOB_PATH)).toMatchObject({ status: 503, retry: '8' });
  });

  it('answers 404 for no queue, and 503 before it has a configuration', async () => {
    expect(await createEdge()('GET', '/none/')).toMatchObject({ status: 404 });
    const edge = createCallerEdge({
      gateway: {} as JobGateway,
      getConfiguration: () => undefined,
      getConfigurationAgeMs: () => Infinity,
      clock: new ManualClock(),
      events: new MemoryEventLog(),
    });
    const answer = await edge.inject({ method: 'GET', url: '/saves/' });
    expect(answer.statusCode).toBe(503);
  });

  // Guards against callers who are turned away because they write their ids in capitals.
  it('takes ids in capital digits, as they are written', async () => {
    const getState = vi.fn<Gateway['getState']>(async () => 'running');
    const send = createEdge({ getState });
    expect(await send('POST', '/saves/5C0E7A21D94B36F8')).toMatchObject({ status: 200 });
    expect(await send('GET', '/saves/5C0E7A21D94B36F8')).toMatchObject({ status: 200 });
    expect(getState.mock.calls[0]?.[1]).toBe('5C0E7A21D94B36F8');
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

  describe('with organisations', () => {
    const organisations = [
      { name: 'council', weight: 1, limit: NO_LIMIT, keyDigests: [digestKey('key-1')] },
    ];
    const configuration: QueueConfiguration = {
      ...CONFIGURATION,
      queues: [
        ...CONFIGURATION.queues,
        { host: 'wiki.example', pathPrefix: '/open/', terms, isPublic: true },
      ],
      organisations,
    };

    // Failure: a call without a valid key has an effect, or shows what is another's.
    it('refuses each call without a valid key with 401, no hint to retry, and no effect', async () => {
      const gateway = {
        submit: vi.fn(async () => undefined),
        getState: vi.fn(async () => 'running' as const),
        cancel: vi.fn(async () => true),
        countPending: vi.fn(async () => 12),
      };
      const send = createEdge(gateway, configuration);
      const answers = [
        await send('POST', JOB_PATH),
        await send('POST', JOB_PATH, BODY, 'unknown'),
        await send('GET', JOB_PATH, BODY, 'unknown'),
        await send('GET', '/saves/', BODY, 'unknown'),
        await send('DELETE', JOB_PATH, BODY, 'unknown'),
      ];
      answers.forEach(({ status, body, retry }) => {
        expect([status, retry]).toEqual([401, undefined]);
        expect(JSON.parse(body)).toMatchObject({ error: 'key-rejected' });
        expect(body).not.toContain('unknown"');
      });
      Object.values(gateway).forEach((call) => expect(call).not.toHaveBeenCalled());
    });

    it('passes the organisation on with the job and each question', async () => {
      const gateway = {
        submit: vi.fn<Gateway['submit']>(async () => undefined),
        getState: vi.fn<Gateway['getState']>(async () => 'running'),
        cancel: vi.fn<Gateway['cancel']>(async () => true),
        countPending: vi.fn<Gateway['countPending']>(async () => 12),
      };
      const send = createEdge(gateway, configuration);
      const caller = expect.objectContaining({ organisation: 'council', configurationVersion: 1 });
      expect(await send('POST', JOB_PATH, BODY, 'key-1')).toMatchObject({ status: 200 });
      expect(gateway.submit.mock.calls[0]).toEqual([
        expect.objectContaining({ organisation: 'council' }),
        caller,
      ]);
      await send('GET', JOB_PATH, BODY, 'key-1');
      expect(gateway.getState.mock.calls[0]?.[2]).toEqual(caller);
      await send('DELETE', JOB_PATH, BODY, 'key-1');
      expect(gateway.cancel.mock.calls[0]?.[2]).toEqual(caller);
      await send('GET', '/saves/', BODY, 'key-1');
      expect(gateway.countPending.mock.calls[0]?.[1]).toEqual(caller);
    });

    it('takes calls to a public queue with any key and with none', async () => {
      const send = createEdge({}, configuration);
      expect(await send('POST', '/open/5c0e7a21d94b36f8')).toMatchObject({ status: 200 });
      expect(await send('GET', '/open/', BODY, 'unknown')).toMatchObject({ status: 200 });
    });

    // Failure: the key of a caller stands in the log of the instance that has refused it.
    it('names a rejected key in the log by a short digest alone', async () => {
      const events = new MemoryEventLog();
      await createEdge({}, configuration, { events })('POST', JOB_PATH, BODY, 'secret-key');
      const [line] = events.events.filter(({ event }) => event === 'jobTurnedAway');
      expect(line?.fields).toMatchObject({
        kind: 'key-rejected',
        keyId: getKeyId(digestKey('secret-key')),
        configurationVersion: 1,
        configurationAgeMs: 0,
      });
      expect(JSON.stringify(events.events)).not.toContain('secret-key');
    });

    // Failure: keys pass for as long as an instance is alone, where operators don't want that.
    it('takes no key on an instance that has been alone for longer than the bound', async () => {
      const alone = { getConfigurationAgeMs: () => 5_001 };
      const strict = createEdge({}, configuration, { ...alone, maxKeyAgeMs: 5_000 });
      expect(await strict('POST', JOB_PATH, BODY, 'key-1')).toMatchObject({ status: 503 });
      expect(await strict('GET', '/open/')).toMatchObject({ status: 200 });
      const lenient = createEdge({}, configuration, alone);
      expect(await lenient('POST', JOB_PATH, BODY, 'key-1')).toMatchObject({ status: 200 });
    });
  });
});
