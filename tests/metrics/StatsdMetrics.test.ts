import { createSocket, type Socket } from 'node:dgram';
import { afterEach, describe, expect, it } from 'vitest';
import { StatsdMetrics } from '../../src/metrics/index.js';

const HOST = '127.0.0.1';
const sockets: Socket[] = [];

async function startReceiver() {
  const socket = createSocket('udp4');
  sockets.push(socket);
  await new Promise<void>((resolve) => {
    socket.bind(0, HOST, resolve);
  });
  const packet = new Promise<string>((resolve) => {
    socket.on('message', (message) => resolve(message.toString()));
  });
  return { port: socket.address().port, packet };
}

afterEach(() => sockets.splice(0).forEach((socket) => socket.close()));

describe('StatsdMetrics', () => {
  it('sends names, values and tags in the StatsD format', async () => {
    const { port, packet } = await startReceiver();
    const metrics = new StatsdMetrics({ host: HOST, port, tags: { instance: 'a' } });
    metrics.increment('requests_answered', { outcome: 'run' });
    metrics.timing('request_ms', 12.5);
    metrics.gauge('queue_length', 3, { pool: 'wiki/editors' });
    await metrics.close();
    expect((await packet).trim().split('\n')).toEqual([
      'rattanlift.requests_answered:1|c|#instance:a,outcome:run',
      'rattanlift.request_ms:12.5|ms|#instance:a',
      'rattanlift.queue_length:3|g|#instance:a,pool:wiki/editors',
    ]);
  });

  it('never throws when there is no server', async () => {
    const { port } = await startReceiver();
    await new Promise<void>((resolve) => {
      sockets.pop()!.close(resolve);
    });
    const metrics = new StatsdMetrics({ host: HOST, port });
    Array.from({ length: 500 }).forEach(() => metrics.increment('retries'));
    await metrics.close();
    expect(() => metrics.increment('retries')).not.toThrow();
  });
});
