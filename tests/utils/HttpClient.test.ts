import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, createServer as createTcpServer, type Socket } from 'node:net';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';
import { afterEach, describe, expect, it } from 'vitest';
import { HttpClient, type HttpClientOptions } from '../../src/utils/index.js';
import { holdUp } from '../support/index.js';

const GET = { method: 'GET', path: '/', timeoutMs: 1_000 } as const;

/** A server on a thread of its own, which goes on while this one is held up. */
const ANSWERING_SERVER = `
  const { createServer } = require('node:http');
  const { parentPort } = require('node:worker_threads');
  const server = createServer((request, response) => setTimeout(() => response.end('here'), 50));
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

type Answer = (request: IncomingMessage, response: ServerResponse) => void;

describe('HttpClient', () => {
  const servers: Server[] = [];
  const clients: HttpClient[] = [];
  const connections: Socket[] = [];

  afterEach(async () => {
    await Promise.all(clients.splice(0).map((client) => client.close()));
    servers.splice(0).forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
    connections.splice(0);
  });

  const connect = async (
    answer: Answer,
    options: Partial<HttpClientOptions> = {},
  ): Promise<HttpClient> => {
    const server = createServer(answer);
    servers.push(server);
    server.on('connection', (socket) => connections.push(socket));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const client = new HttpClient({ host: '127.0.0.1', port, ...options });
    clients.push(client);
    return client;
  };

  // Guards against a home on a tenth of a core that takes answers for lost which came in time: it
  // found the wait over before it had read them, lost its place among the others, and wrote again.
  it('takes an answer that came while the process was held up', async () => {
    const worker = new Worker(ANSWERING_SERVER, { eval: true });
    const [port] = (await once(worker, 'message')) as [number];
    const client = new HttpClient({ host: '127.0.0.1', port });
    clients.push(client);
    await client.send(GET);
    const answered = client.send({ ...GET, timeoutMs: 200, silenceTimeoutMs: 200 });
    await sleep(20);
    setImmediate(() => holdUp(400));
    await expect(answered).resolves.toMatchObject({ httpStatus: 200 });
    await worker.terminate();
  });

  it('gives up an answer that has not come when the process goes on', async () => {
    const client = await connect(() => undefined);
    const answered = client.send({ ...GET, timeoutMs: 100 });
    const failed = expect(answered).rejects.toThrow('no whole answer');
    holdUp(200);
    await failed;
  });

  it('sends method, path, headers and body, and reads the whole answer', async () => {
    const client = await connect((request, response) => {
      const { method, url, headers } = request;
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        response.statusCode = 418;
        const { accept, 'content-length': length } = headers;
        response.end([method, url, accept, length, Buffer.concat(chunks).toString()].join(' '));
      });
    });
    const answer = await client.send({
      method: 'POST',
      path: '/a?b=1',
      headers: { accept: 'text/plain' },
      body: Buffer.from('héllo'),
      timeoutMs: 1_000,
    });
    expect(answer.httpStatus).toBe(418);
    expect(answer.body.toString()).toBe('POST /a?b=1 text/plain 6 héllo');
  });

  it('uses a connection again', async () => {
    const client = await connect((_request, response) => response.end('ok'));
    await client.send(GET);
    await client.send(GET);
    expect(connections).toHaveLength(1);
  });

  it('opens no more connections than it may', async () => {
    const client = await connect((_request, response) => setTimeout(() => response.end(), 20), {
      maxConnectionCount: 2,
    });
    await Promise.all(Array.from({ length: 6 }, () => client.send(GET)));
    expect(connections).toHaveLength(2);
  });

  // A connection had gone silent: requests on it got no answer, while a new one would have worked.
  // A middlebox had forgotten the connection, so nothing but the time-out shows it.
  it('uses no connection again that was open when a request had no answer', async () => {
    let requestCount = 0;
    const client = await connect((request, response) => {
      requestCount += 1;
      if (request.url === '/') response.end();
    });
    await Promise.all([client.send(GET), client.send(GET)]);
    const before = connections.length;
    await expect(client.send({ ...GET, path: '/silent', timeoutMs: 50 })).rejects.toThrow('50 ms');
    await client.send(GET);
    expect(requestCount).toBe(4);
    expect(connections).toHaveLength(before + 1);
  });

  it('lets requests in progress end on their connections after another one has failed', async () => {
    const client = await connect((request, response) => {
      if (request.url === '/slow') setTimeout(() => response.end('late'), 150);
    });
    const slow = client.send({ ...GET, path: '/slow' });
    await expect(client.send({ ...GET, path: '/silent', timeoutMs: 50 })).rejects.toThrow();
    expect((await slow).body.toString()).toBe('late');
  });

  it('gives an answer up that stops half way, by the time for the whole or by silence', async () => {
    const client = await connect((_request, response) => {
      response.write('half');
    });
    const silence = { ...GET, timeoutMs: 5_000, silenceTimeoutMs: 60 };
    await expect(client.send(silence)).rejects.toThrow('60 ms');
    await expect(client.send({ ...GET, timeoutMs: 80 })).rejects.toThrow('80 ms');
  });

  // Orders to a target that had fallen silent were given up long after their time: each waited for
  // the connection on which the one before hung, and only then told of its own end.
  it('gives a request up in time that waits for a connection behind one that hangs', async () => {
    const client = await connect(() => undefined, { maxConnectionCount: 1 });
    const hanging = client.send(GET).catch((error: unknown) => error);
    const startedAtMs = performance.now();
    await expect(client.send({ ...GET, timeoutMs: 50 })).rejects.toThrow('50 ms');
    expect(performance.now() - startedAtMs).toBeLessThan(500);
    expect(await hanging).toBeInstanceOf(Error);
  });

  it('fails where the connection ends within an answer', async () => {
    const client = await connect((_request, response) => {
      response.writeHead(200, { 'content-length': 100 });
      response.write('half', () => response.destroy());
    });
    await expect(client.send(GET)).rejects.toThrow();
  });

  // A machine without power answers no opening packet; waiting for it as long as for an answer kept
  // a reading that may wait long from ever trying again.
  it('gives a connection up that does not open, before the time for the answer', async () => {
    // A listener that is never accepted from: its queue is full, so that further ones hang.
    const server = createTcpServer();
    await new Promise<void>((resolve) => {
      server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, resolve);
    });
    const { port } = server.address() as AddressInfo;
    server.close();
    const client = new HttpClient({ host: '127.0.0.1', port, connectTimeoutMs: 100 });
    clients.push(client);
    const startedAtMs = performance.now();
    await expect(client.send({ ...GET, timeoutMs: 3_000 })).rejects.toThrow();
    expect(performance.now() - startedAtMs).toBeLessThan(1_000);
  });

  it('closes idle connections after their limit', async () => {
    const client = await connect((_request, response) => response.end('ok'), { idleLimitMs: 60 });
    await client.send(GET);
    await sleep(200);
    expect(connections[0]!.destroyed).toBe(true);
    await client.send(GET);
    expect(connections).toHaveLength(2);
  });

  it('ends requests in progress when it is closed', async () => {
    const client = await connect(() => undefined);
    const sent = client.send(GET).catch((error: unknown) => error);
    await sleep(30);
    await client.close();
    expect(await sent).toBeInstanceOf(Error);
  });
});
