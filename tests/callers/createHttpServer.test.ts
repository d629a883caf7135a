import { connect } from 'node:net';
import { PassThrough } from 'node:stream';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { type CallerServer, exchangeBytes, startCallerServer } from './callerServer.js';
import { answerText } from './FakeEntry.js';

const LONG_MS = 30_000;
const JOB = [
  'POST /v1/pools/wiki/editors/jobs HTTP/1.1',
  'Host: a',
  'Rattanlift-Kind: k',
  'Content-Length: 0',
  '\r\n',
].join('\r\n');
const servers: CallerServer[] = [];

async function start(options = {}): Promise<CallerServer> {
  const started = await startCallerServer(options);
  servers.push(started);
  return started;
}

afterEach(async () => {
  await Promise.all(servers.splice(0).map(({ server }) => server.close()));
});

describe('createHttpServer', () => {
  it.each([
    ['garbage', '400', '\x16\x03\x01 not HTTP\r\n\r\n'],
    ['a header without a name', '400', 'GET / HTTP/1.1\r\n: x\r\n\r\n'],
    ['a length that is no number', '400', JOB.replace('Length: 0', 'Length: ten')],
    ['two lengths', '400', JOB.replace('Length: 0', 'Length: 0\r\nContent-Length: 1')],
    [
      'length and chunks',
      '400',
      JOB.replace('Length: 0', 'Length: 3\r\nTransfer-Encoding: chunked'),
    ],
    ['headers over the limit', '431', `GET / HTTP/1.1\r\nX: ${'x'.repeat(20_000)}\r\n\r\n`],
    ['a body that never comes', '408', JOB.replace('Length: 0', 'Length: 10')],
  ])('answers %s with %s as JSON and closes', async (_name, status, bytes) => {
    const { port, entry } = await start({ receiveTimeoutMs: 100 });
    const received = await exchangeBytes(port, bytes);
    expect(received.startsWith(`HTTP/1.1 ${status} `)).toBe(true);
    expect(received).toContain('"outcome":"not-run"');
    expect(received.match(/HTTP\/1\.1/g)).toHaveLength(1);
    expect(entry.submissions).toEqual([]);
  });

  it('writes no error into the place of an answer that is due', async () => {
    // A caller's library sends a broken second request over the connection on which its page save
    // is in progress. "Bad request, not run" would come first and be taken for the save's answer,
    // which then runs all the same.
    const { port, entry } = await start();
    entry.runWith = () => new Promise(() => {});
    const received = exchangeBytes(port, `${JOB}not HTTP at all\r\n\r\n`);
    expect(await received).toBe('');
    expect(entry.submissions).toHaveLength(1);
    expect(entry.submissions[0]!.signal.aborted).toBe(true);
  });
});

describe('getEarlierOutcome', () => {
  it('keeps a refused repeat from being told that its job did not run', async () => {
    // A page save runs, but its answer is lost with the connection. The caller repeats it after
    // its deadline. The repeat is refused without asking anyone, and a plain "not run" would make
    // the field crew enter the page again.
    const { port } = await start({
      getEarlierOutcome: async (id: string) => {
        if (id === 'fails') throw new Error('slip');
        return id === 'ran' ? 'run' : undefined;
      },
    });
    const late = (id: string) =>
      exchangeBytes(
        port,
        JOB.replace(
          'Host: a',
          `Host: a\r\nConnection: close\r\nRattanlift-Request-Id: ${id}`,
        ).replace('Kind: k', 'Kind: k\r\nRattanlift-Deadline-Ms: 1'),
      );
    expect(await late('ran')).toContain('"kind":"deadline-past","outcome":"run"');
    expect(await late('new')).toContain('"kind":"deadline-past","outcome":"not-run"');
    expect(await late('fails')).toContain('"kind":"deadline-past","outcome":"unknown"');
  });
});

describe('close', () => {
  it('lets a request in progress end and refuses new ones', async () => {
    // An instance is replaced while an export streams to its caller, whose next request is already
    // on the connection. The export has to arrive whole; the next request is told to go elsewhere.
    const { server, port, entry } = await start();
    const body = new PassThrough();
    entry.runWith = async ({ requestId }) => answerText(requestId, body);
    const socket = connect(port, '127.0.0.1');
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString();
    });
    const ended = new Promise((resolve) => {
      socket.on('close', resolve);
    });
    socket.write(JOB);
    body.write('first half,');
    await vi.waitFor(() => expect(received).toContain('first half'), LONG_MS);

    const closed = server.close();
    await vi.waitFor(() => expect(server.server.listening).toBe(false), LONG_MS);
    socket.write(JOB);
    body.end('second half');
    await Promise.all([closed, ended]);

    const [first, second] = received.split(/(?=HTTP\/1\.1)/);
    expect(first).toMatch(/first half,[^]*second half\r\n0\r\n\r\n$/);
    expect(second).toMatch(/^HTTP\/1\.1 503 [^]*"kind":"shutting-down","outcome":"not-run"/);
    expect(second).toMatch(/connection: close/i);
    expect(entry.submissions).toHaveLength(1);
  });

  it('closes a connection that has nothing in progress any more', async () => {
    const { server, port, entry } = await start();
    const body = new PassThrough();
    entry.runWith = async ({ requestId }) => answerText(requestId, body);
    const received = exchangeBytes(port, JOB);
    await vi.waitFor(() => expect(entry.submissions).toHaveLength(1), LONG_MS);
    const closed = server.close();
    await vi.waitFor(() => expect(server.server.listening).toBe(false), LONG_MS);
    body.end('whole');
    await closed;
    expect(await received).toContain('whole');
  });
});
