import { describe, expect, it } from 'vitest';
import {
  createHttpServer,
  type OrganisationPort,
  registerOrganisationRoutes,
} from '../../src/callers/index.js';
import { runCli } from '../../src/cli/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { digestKey, getKeyId, type QueueConfiguration } from '../../src/queues/index.js';
import { SystemClock } from '../../src/utils/index.js';

const toResources = (cpuMillicores: number) => ({ cpuMillicores, memoryMb: 0, gpuCount: 0 });
const KEY_DIGEST = digestKey('key-1');
const CONFIGURATION: QueueConfiguration = {
  version: 3,
  queues: [],
  pools: [
    { pool: 'pages', isStandby: false },
    { pool: 'search', isStandby: false },
    { pool: 'spare', isStandby: true },
  ],
  organisations: [
    { name: 'council', weight: 4, limit: toResources(20_000), keyDigests: [KEY_DIGEST] },
    { name: 'water', weight: 1, limit: toResources(0), keyDigests: [] },
  ],
};

const PORT: OrganisationPort = {
  getOrganisationUse: async (pool) => {
    const organisation = 'council';
    const used = toResources(8_000);
    if (pool === 'search') {
      const other = { organisation: 'water', used, waiting: toResources(1_000) };
      return { use: [other], parts: [] };
    }
    return {
      use: [{ organisation, used, waiting: toResources(4_000) }],
      parts: [{ organisation, limit: toResources(20_000), part: toResources(10_000) }],
    };
  },
};

function createServer() {
  const server = createHttpServer({ clock: new SystemClock(), events: new MemoryEventLog() });
  registerOrganisationRoutes(server, { port: PORT, getConfiguration: () => CONFIGURATION });
  return server;
}

describe('registerOrganisationRoutes', () => {
  it('tells share, limit and use of each organisation, and no key', async () => {
    const answer = await createServer().inject({ method: 'GET', url: '/v1/organisations' });
    expect(answer.json()).toEqual([
      {
        organisation: 'council',
        weight: 4,
        limit: toResources(20_000),
        keyIds: [getKeyId(KEY_DIGEST)],
        pools: [
          {
            pool: 'pages',
            used: toResources(8_000),
            waiting: toResources(4_000),
            part: toResources(10_000),
          },
        ],
      },
      {
        organisation: 'water',
        weight: 1,
        limit: toResources(0),
        keyIds: [],
        pools: [{ pool: 'search', used: toResources(8_000), waiting: toResources(1_000) }],
      },
    ]);
    expect(answer.body).not.toContain(KEY_DIGEST);
  });

  it('lets operators see why tasks of an organisation wait', async () => {
    const server = createServer();
    const address = new URL(await server.listen({ host: '127.0.0.1', port: 0 })).host;
    const lines: string[] = [];
    const exitCode = await runCli(['organisations', '--daemon', address], {
      environment: {},
      stdout: (output) => lines.push(String(output)),
      stderr: (text) => lines.push(text),
      readFile: async () => Buffer.alloc(0),
      clock: new SystemClock(),
      sleep: async () => undefined,
    });
    await server.close();
    expect(exitCode).toBe(0);
    expect(lines.join('')).toMatch(/council +4 +1 +8\/0\/0 +20\/0\/0 +pages: limit/);
    expect(lines.join('')).toMatch(/water +1 +0 +8\/0\/0 +none +search: room/);
  });
});
