import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import type { FastifyInstance } from 'fastify';
import {
  createHttpServer,
  type HttpServerOptions,
  registerCallerRoutes,
} from '../../src/callers/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { ManualClock } from '../../src/utils/index.js';
import { FakeEntry } from './FakeEntry.js';

/** Time on the clock of the test servers. */
export const NOW_MS = 1_790_000_000_000;

const STALL_LIMIT_MS = 100;

/** A server on a port of its own with a fake entry behind it. */
export interface CallerServer {
  readonly server: FastifyInstance;
  readonly entry: FakeEntry;
  readonly events: MemoryEventLog;
  readonly port: number;
  readonly url: string;
}

/** Starts a server for callers. */
export async function startCallerServer(options: HttpServerOptions = {}): Promise<CallerServer> {
  const entry = new FakeEntry();
  const events = new MemoryEventLog();
  const clock = new ManualClock(NOW_MS);
  const server = createHttpServer({ clock, events, createRequestId: () => 'made', ...options });
  registerCallerRoutes(server, entry, { clock, events, stallLimitMs: STALL_LIMIT_MS });
  await server.listen({ host: '127.0.0.1', port: 0 });
  const { port } = server.server.address() as AddressInfo;
  return { server, entry, events, port, url: `http://127.0.0.1:${port}` };
}

/** Sends bytes over a connection of its own and gathers all that comes until it is closed. */
export function exchangeBytes(port: number, bytes: string | Buffer): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(received));
    socket.write(bytes);
  });
}
