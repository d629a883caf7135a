import type { AddressInfo } from 'node:net';
import type { FastifyInstance } from 'fastify';
import { afterEach, describe, expect, it } from 'vitest';
import { createHttpServer, createMetricsServer } from '../../src/callers/index.js';
import { ScrapedMetrics } from '../../src/metrics/index.js';
import { ManualClock } from '../../src/utils/index.js';
import { exchangeBytes, startCallerServer } from './callerServer.js';
import { answerText } from './FakeEntry.js';

const servers: FastifyInstance[] = [];

async function listen(server: FastifyInstance): Promise<number> {
  servers.push(server);
  await server.listen({ host: '127.0.0.1', port: 0 });
  return (server.server.address() as AddressInfo).port;
}

function chunked(chunks: string): string {
  return `POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}`;
}

/** Starts a server with a route for every method; `handled` gathers what reaches it. */
async function startRecorder(): Promise<{ port: number; handled: string[] }> {
  const handled: string[] = [];
  const server = createHttpServer();
  server.all('/*', async ({ url }, reply) => {
    handled.push(url);
    return reply.send('handled');
  });
  return { port: await listen(server), handled };
}

function expectRefusal(received: string, status = 400): void {
  expect(received.startsWith(`HTTP/1.1 ${status} `)).toBe(true);
  expect(received).toContain('"outcome":"not-run"');
  expect(received).toMatch(/connection: close/i);
  expect(received.match(/HTTP\/1\.1/g)).toHaveLength(1);
}

const BROKEN_HEADS = [
  ['no host', ''],
  ['two hosts', 'Host: a\r\nHost: a\r\n'],
  ['two different hosts', 'Host: a\r\nHost: b\r\n'],
  ['a host that is none', 'Host: a b\r\n'],
  ['a header without a name', 'Host: a\r\n: x\r\n'],
  ['a blank in a name', 'Host: a\r\nA b: c\r\n'],
  ['a blank before the colon', 'Host: a\r\nX-Note : c\r\n'],
  ['a blank before the colon of the length', 'Host: a\r\nContent-Length : 0\r\n'],
  ['a control character in a name', 'Host: a\r\nA\x01b: c\r\n'],
  ['a control character in a value', 'Host: a\r\nX-Note: c\x01d\r\n'],
  ['a folded value', 'Host: a\r\nX-Note: c\r\n d\r\n'],
  ['a bare line feed', 'Host: a\r\nX-Note: c\nX-More: d\r\n'],
  ['a bare carriage return', 'Host: a\r\nX-Note: c\rd\r\n'],
  ['an unknown expectation', 'Host: a\r\nExpect: miracle\r\n'],
] as const;

const CALLS = ['GET', 'POST', 'DELETE'].flatMap((method) =>
  BROKEN_HEADS.map(([name, head]) => [method, name, head] as const),
);

afterEach(async () => {
  await Promise.all(servers.splice(0).map((server) => server.close()));
});

describe('HeadGuard', () => {
  // Guards against a head that one processor's parser lets reach a handler and another's does not.
  it.each(CALLS)('answers %s with %s as JSON and closes', async (method, _name, head) => {
    const { port, handled } = await startRecorder();
    const received = await exchangeBytes(port, `${method} /first HTTP/1.1\r\n${head}\r\n`);
    expectRefusal(received);
    expect(handled).toEqual([]);
  });

  it.each([
    ['chunks in HTTP/1.0', 'POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'],
    ['a request without a version', 'GET /\r\n\r\n'],
    ['a size of a chunk that is no number', chunked('zz\r\nabc\r\n0\r\n\r\n')],
    ['a size of a chunk with a prefix', chunked('0x3\r\nabc\r\n0\r\n\r\n')],
    ['a size of a chunk that overflows', chunked('10000000000000003\r\nabc\r\n0\r\n\r\n')],
    ['a chunk with bare line feeds', chunked('3\nabc\n0\n\n')],
  ])('answers %s as JSON and closes', async (_name, bytes) => {
    const { port, handled } = await startRecorder();
    expectRefusal(await exchangeBytes(port, bytes));
    expect(handled).toEqual([]);
  });

  // Guards against a smuggled request: the body of a broken one, read as the next request.
  it.each(BROKEN_HEADS)('handles nothing that follows %s', async (_name, head) => {
    const { port, handled } = await startRecorder();
    const next = 'POST /smuggled HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n';
    expectRefusal(await exchangeBytes(port, `POST /first HTTP/1.1\r\n${head}\r\n${next}`));
    expect(handled).toEqual([]);
  });

  // Guards against a smuggled request behind a path that the router itself refuses.
  it('handles nothing that follows a broken head with a broken path', async () => {
    const { port, handled } = await startRecorder();
    const next = 'GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n';
    expectRefusal(
      await exchangeBytes(port, `GET /%zz HTTP/1.1\r\nHost: a\r\nA b: c\r\n\r\n${next}`),
    );
    expect(handled).toEqual([]);
  });

  // Guards against an answer that is lost since a broken request follows on the same connection.
  it('lets a request end that came before on the same connection', async () => {
    const { server, port, entry } = await startCallerServer();
    servers.push(server);
    entry.runWith = async ({ requestId }) => answerText(requestId, 'saved');
    const job = 'POST /v1/pools/wiki/editors/jobs HTTP/1.1\r\nHost: a\r\nRattanlift-Kind: k\r\n';
    const bytes = `${job}Content-Length: 0\r\n\r\n${job}Host: b\r\nContent-Length: 0\r\n\r\n`;
    const [, first, second] = (await exchangeBytes(port, bytes)).split('HTTP/1.1 ');
    expect(first).toMatch(/^200 [^]*saved/);
    expectRefusal(`HTTP/1.1 ${second}`);
    expect(entry.submissions).toHaveLength(1);
  });

  it('guards the port of measurements too', async () => {
    const port = await listen(
      createMetricsServer(new ScrapedMetrics({ clock: new ManualClock() })),
    );
    expectRefusal(await exchangeBytes(port, 'GET /metrics HTTP/1.1\r\n\r\n'));
  });

  it('lets a known expectation pass', async () => {
    const { port, handled } = await startRecorder();
    const head = 'Host: a\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 3\r\n';
    const received = await exchangeBytes(port, `POST /first HTTP/1.1\r\n${head}\r\nabc`);
    expect(received).toMatch(/^HTTP\/1\.1 100 [^]*HTTP\/1\.1 200 /);
    expect(handled).toEqual(['/first']);
  });
});
