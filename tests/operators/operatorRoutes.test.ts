import { createServer, type Server } from 'node:net';
import fastifyFactory, { type FastifyInstance } from 'fastify';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  DaemonTransport,
  OperatorClient,
  registerOperatorRoutes,
} from '../../src/operators/index.js';
import { ManualClock } from '../../src/utils/index.js';
import { FakeOperatorPort } from './FakeOperatorPort.js';

const DOCUMENT = `{
  "formatVersion": 1, "team": "wiki",
  "pools": { "saves": {
    "neededSlotCount": 40,
    "availability": { "failureDomain": "rack", "maxUnavailableFraction": 0.25 },
    "jobKinds": { "save": { "coreCount": 1, "memoryMb": 9, "expectedRunMs": 9, "idempotent": false } }
  } }
}`;

let fastify: FastifyInstance;
let port: FakeOperatorPort;
let daemon: string;
const servers: Server[] = [];
const transports: DaemonTransport[] = [];

beforeEach(async () => {
  port = new FakeOperatorPort();
  fastify = fastifyFactory();
  await registerOperatorRoutes(fastify, port, new ManualClock());
  daemon = new URL(await fastify.listen({ host: '127.0.0.1', port: 0 })).host;
});

afterEach(async () => {
  await Promise.all(transports.splice(0).map((transport) => transport.close()));
  await fastify.close();
  servers.splice(0).forEach((server) => server.close());
});

function clientOf(...daemons: readonly string[]): OperatorClient {
  const options = { daemons, clock: new ManualClock(), silenceLimitMs: 5000 };
  const transport = new DaemonTransport(options);
  transports.push(transport);
  return new OperatorClient({ transport });
}

/** Starts a daemon that breaks every connection off once a request has come in. */
async function startBreakingDaemon(onRequest: () => Promise<void>): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      void onRequest().then(() => socket.destroy());
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as { readonly port: number }).port}`;
}

async function post(path: string, payload: unknown) {
  const response = await fastify.inject({
    method: 'POST',
    url: `/operators/v1${path}`,
    headers: { 'content-type': 'application/json' },
    payload: typeof payload === 'string' ? payload : JSON.stringify(payload),
  });
  return { status: response.statusCode, body: response.json<Record<string, unknown>>() };
}

describe('registerOperatorRoutes', () => {
  it('answers an invalid document with every problem and publishes nothing', async () => {
    const document = DOCUMENT.replace('"rack"', '"shelf"');
    const answer = await post('/settings', {
      document,
      baseVersion: 0,
      author: 'ada',
      fileName: 'wiki.jsonc',
    });
    expect(answer).toMatchObject({
      status: 422,
      body: {
        kind: 'settings-invalid',
        outcome: 'not-run',
        problems: [{ file: 'wiki.jsonc', line: 5, column: 40, found: '"shelf"' }],
      },
    });
    expect(port.publications).toEqual([]);
  });

  it('names the field at fault, a broken body, an oversized one and an unknown path', async () => {
    const publication = { document: DOCUMENT, baseVersion: -1, author: 'ada' };
    const expectations = [
      [await post('/settings', publication), 400, 'bad-request', 'baseVersion'],
      [await post('/waves', { pools: [], author: 'ada' }), 400, 'bad-request', 'pools'],
      [await post('/waves', { pool: 'a/b', author: 'ada' }), 400, 'bad-request', 'pools'],
      [await post('/waves', '{'), 400, 'bad-request', undefined],
      [await post('/waves', `"${'x'.repeat(2 ** 20)}"`), 413, 'body-too-large', undefined],
      [await post('/nothing', {}), 400, 'bad-request', 'path'],
      [await post('/vms/vm-9/drain', { author: 'ada' }), 404, 'unknown-vm', undefined],
    ] as const;
    expectations.forEach(([answer, status, kind, field]) => {
      expect([answer.status, answer.body.kind, answer.body.field]).toEqual([status, kind, field]);
    });
  });
});

describe('OperatorClient', () => {
  it('reads from the next daemon when one is gone', async () => {
    const goneDaemon = await startBreakingDaemon(async () => {});
    const pools = await clientOf('127.0.0.1:1', goneDaemon, daemon).listPools();
    expect(pools.map(({ pool }) => pool)).toEqual(['wiki/saves']);
  });

  // An operator publishes. The daemon has the record accepted and dies before its answer is out.
  // The tool asks the next daemon, which refuses the same version as a conflict, although the
  // conflict is with the operator's own publication.
  it('takes the conflict with its own lost publication as accepted', async () => {
    const publication = { document: DOCUMENT, baseVersion: 0, author: 'ada' };
    const dyingDaemon = await startBreakingDaemon(async () => {
      if (port.publications.length === 0) await port.publishSettings(publication);
    });
    const client = clientOf(dyingDaemon, daemon);
    const view = await client.publishSettings('wiki', { ...publication, fileName: 'wiki.jsonc' });
    expect(view).toMatchObject({ version: 1, author: 'ada' });
    const rival = { ...publication, author: 'bob', fileName: 'f' };
    await expect(clientOf(daemon).publishSettings('wiki', rival)).rejects.toMatchObject({
      kind: 'settings-conflict',
    });
  });

  // An operator starts a wave; the wave runs, and the answer is lost. Sent again to the next
  // daemon, the order would be refused for a conflict with itself, or start a second wave.
  it('does not start a wave a second time when the answer was lost', async () => {
    const dyingDaemon = await startBreakingDaemon(async () => {});
    await expect(
      clientOf(dyingDaemon, daemon).startWave(['wiki/saves'], 'ada'),
    ).rejects.toMatchObject({ kind: 'outcome-unknown' });
    expect(port.listWaves()).toEqual([]);
  });
});
