import { connect, Socket } from 'node:net';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { throwError } from '../../src/errors/index.js';
import { type EventName, MemoryEventLog } from '../../src/logging/index.js';
import {
  PeerClient,
  type PeerHandler,
  type PeerReply,
  type PeerRequest,
  PeerServer,
} from '../../src/peers/index.js';
import { holdUp } from '../support/index.js';
import { TcpForwarder } from './TcpForwarder.js';

vi.mock('node:net', async (importOriginal) => {
  const net = await importOriginal<typeof import('node:net')>();
  return { ...net, connect: vi.fn(net.connect) };
});

const HOST = '127.0.0.1';
const LONG_MS = 30_000;
const heartbeat = { heartbeatMs: 10, silentHeartbeatLimit: 10 };
/** An interval so long that no heartbeat occurs during a test. */
const infrequentHeartbeat = { heartbeatMs: 60_000, silentHeartbeatLimit: 2 };
const reopen = { reopenMinMs: 5, reopenMaxMs: 20 };
const cleanups: (() => unknown)[] = [];

const echo: PeerHandler = async (from, request) => ({
  type: 'state',
  json: request.type === 'explain' ? `${from} ${request.subject}` : request.type,
});

const explain = (subject: string): PeerRequest => ({ type: 'explain', subject });

async function startServer(
  handler: PeerHandler = echo,
  instance = 'b',
  port = 0,
  options = { heartbeat },
) {
  const events = new MemoryEventLog();
  const server = new PeerServer({ instance, host: HOST, port, handler, events, ...options });
  const address = await server.start();
  cleanups.push(() => server.stop());
  return { server, events, peer: { instance, host: HOST, port: address.port } };
}

function createClient(options = { heartbeat }) {
  const events = new MemoryEventLog();
  const client = new PeerClient({ instance: 'a', events, reopen, ...options });
  cleanups.push(() => client.close());
  return { client, events };
}

const waitForEvent = (log: MemoryEventLog, event: EventName) =>
  vi.waitFor(() => expect(log.events.map((kept) => kept.event)).toContain(event), LONG_MS);

afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

const MICROTASKS_OF_A_REPLY = 50;

const afterMicrotasks = (count: number): Promise<void> =>
  count === 0 ? Promise.resolve() : Promise.resolve().then(() => afterMicrotasks(count - 1));

describe('PeerClient.call', () => {
  // Guards against a busy home that treats replies as lost although they arrived in time: the
  // call's timer fires before the process has read them.
  it('accepts a reply that arrived while the event loop was blocked', async () => {
    const { peer } = await startServer(async (from, request) => {
      void afterMicrotasks(MICROTASKS_OF_A_REPLY).then(() => setImmediate(() => holdUp(200)));
      return echo(from, request);
    });
    const { client } = createClient();
    const reply = await client.call(peer, explain('late'), 100);
    expect(reply).toEqual({ type: 'state', json: 'a late' });
  });

  it('gives each of one thousand concurrent calls its own reply', async () => {
    const held: { subject: string; resolve: (reply: PeerReply) => void }[] = [];
    const { peer } = await startServer(
      (_from, request) =>
        new Promise((resolve) => {
          held.push({ subject: request.type === 'explain' ? request.subject : '', resolve });
          if (held.length < 1000) return;
          held.reverse().forEach((call) => call.resolve({ type: 'state', json: call.subject }));
        }),
    );
    const { client } = createClient();
    const subjects = Array.from({ length: 1000 }, (_, index) => `subject ${index}`);

    const replies = await Promise.all(
      subjects.map((subject) => client.call(peer, explain(subject), LONG_MS)),
    );

    expect(replies).toEqual(subjects.map((json) => ({ type: 'state', json })));
  });

  it('carries every field of a request and a reply', async () => {
    const entries = [{ offset: 7, payload: { recordId: 'r', at: 1_790_000_000_123, none: null } }];
    const seen: PeerRequest[] = [];
    const { peer } = await startServer(async (_from, request) => {
      seen.push(request);
      return { type: 'entries', entries };
    });
    const request: PeerRequest = { type: 'push-entries', entries };
    const { client } = createClient();
    expect(await client.call(peer, request, LONG_MS)).toEqual({ type: 'entries', entries });
    expect(seen).toEqual([request]);
  });

  it.each([
    {
      name: 'an error of a kind',
      handler: () => throwError('queue-full', 'Too many.', { retryAtMs: 5000 }),
      expected: { type: 'refused', kind: 'queue-full', message: 'Too many.', retryAtMs: 5000 },
    },
    {
      name: 'any other error',
      handler: () => {
        throw new TypeError('slip');
      },
      expected: { type: 'refused', kind: 'internal', message: 'TypeError: slip' },
    },
    {
      name: 'a reply over the limit',
      handler: async () => ({ type: 'state', json: 'x'.repeat(33_600_000) }) as const,
      expected: { type: 'refused', kind: 'internal' },
    },
  ])('turns $name of the handler into a refused reply', async ({ handler, expected }) => {
    const { peer } = await startServer(async () => handler());
    expect(await createClient().client.call(peer, explain('x'), LONG_MS)).toMatchObject(expected);
  });

  it('refuses a malformed request, names its field and keeps the connection', async () => {
    const { peer, events } = await startServer();
    const { client } = createClient();
    const malformed = { type: 'list-grants', pool: 7 } as unknown as PeerRequest;
    const reply = await client.call(peer, malformed, LONG_MS);
    expect(reply).toMatchObject({ type: 'refused', kind: 'bad-request' });
    expect(reply).toHaveProperty('message', expect.stringContaining('pool'));
    await client.call(peer, explain('x'), LONG_MS);
    expect(events.events.map(({ event }) => event)).toEqual(['peerConnected']);
  });

  it('receives a reply that is larger than a frame, alongside other replies', async () => {
    const json = Array.from({ length: 1_000_000 }, (_, index) => index).join(' ');
    const { peer } = await startServer(async (from, request) =>
      request.type === 'get-tables' ? { type: 'state', json } : echo(from, request),
    );
    const { client } = createClient();
    const replies = await Promise.all([
      client.call(peer, { type: 'get-tables' }, LONG_MS),
      client.call(peer, explain('x'), LONG_MS),
    ]);
    expect(replies[0].type === 'state' && replies[0].json === json).toBe(true);
    expect(replies[1]).toEqual({ type: 'state', json: 'a x' });
  });

  it('rejects a request that exceeds the frame size', async () => {
    const { peer } = await startServer();
    const call = createClient().client.call(peer, explain('x'.repeat(5_000_000)), LONG_MS);
    await expect(call).rejects.toMatchObject({ kind: 'internal' });
  });

  it('drops a reply that arrives after its call has expired', async () => {
    // The home is slow, so the entry instance's first call expires and it calls again. Then the
    // first reply arrives. If it resolved the second call, the caller would get another request's
    // slot.
    const resolvers: ((reply: PeerReply) => void)[] = [];
    const { peer } = await startServer(
      () =>
        new Promise((resolve) => {
          resolvers.push(resolve);
        }),
    );
    const { client, events } = createClient();
    const warmUp = client.call(peer, explain('warm-up'), LONG_MS);
    await vi.waitFor(() => expect(resolvers).toHaveLength(1), LONG_MS);
    resolvers.shift()!({ type: 'done' });
    await warmUp;
    await expect(client.call(peer, explain('first'), 5)).rejects.toMatchObject({
      kind: 'peer-unavailable',
    });
    const second = client.call(peer, explain('second'), LONG_MS);
    await vi.waitFor(() => expect(resolvers).toHaveLength(2), LONG_MS);

    resolvers[0]!({ type: 'state', json: 'first' });
    await waitForEvent(events, 'replyDropped');
    resolvers[1]!({ type: 'state', json: 'second' });

    expect(await second).toEqual({ type: 'state', json: 'second' });
  });

  it('closes a silent connection and opens a new one', async () => {
    // A middlebox drops the state of an open connection: no data and no reset arrive any more.
    // Callers of one entry VM would wait until their deadlines, though a new connection works.
    const { peer } = await startServer();
    const forwarder = new TcpForwarder(peer.port);
    const port = await forwarder.start();
    cleanups.push(() => forwarder.stop());
    const { client, events } = createClient();
    const through = { ...peer, port };
    await client.call(through, explain('before'), LONG_MS);

    forwarder.dropConnectionState();

    const stuck = client.call(through, explain('stuck'), LONG_MS);
    await expect(stuck).rejects.toThrow('silent');
    expect(events.events.at(-1)).toMatchObject({ event: 'peerLost' });
    expect(await client.call(through, explain('after'), LONG_MS)).toMatchObject({
      json: 'a after',
    });
    expect(forwarder.connectionCount).toBe(2);
  });

  // Guards against callers of each entry that wait 4 s after all connections between instances go
  // silent: calls are sent on the dead connection one after another until heartbeats detect it.
  it('closes a connection on which a call got no data, before heartbeats detect it', async () => {
    const options = { heartbeat: infrequentHeartbeat };
    const { peer } = await startServer(echo, 'b', 0, options);
    const forwarder = new TcpForwarder(peer.port);
    const port = await forwarder.start();
    cleanups.push(() => forwarder.stop());
    const { client, events } = createClient(options);
    const through = { ...peer, port };
    await client.call(through, explain('before'), LONG_MS);
    forwarder.dropConnectionState();
    await expect(client.call(through, explain('lost'), 1_250)).rejects.toThrow();
    await waitForEvent(events, 'peerLost');
    expect(await client.call(through, explain('after'), 1_250)).toMatchObject({ json: 'a after' });
  });

  // Guards against calls that wait for a connection attempt whose packets a cut has swallowed.
  it('gives up an attempt to connect that stays without an answer, and connects anew', async () => {
    const options = { heartbeat: infrequentHeartbeat };
    const { peer } = await startServer(echo, 'b', 0, options);
    const { client } = createClient(options);
    vi.mocked(connect).mockImplementationOnce(() => new Socket());
    await expect(client.call(peer, explain('first'), 1_250)).rejects.toThrow();
    await expect(client.call(peer, explain('second'), 1_250)).rejects.toThrow();
    expect(await client.call(peer, explain('third'), 1_250)).toMatchObject({ json: 'a third' });
  });

  // A home that waits for the store does not answer calls in time, but it is alive, so its
  // connections stay open.
  it('keeps a connection whose peer answers pings while a call gets no reply', async () => {
    const options = { heartbeat: infrequentHeartbeat };
    const handler: PeerHandler = (from, request) =>
      request.type === 'explain' && request.subject === 'never'
        ? new Promise(() => {})
        : echo(from, request);
    const { peer } = await startServer(handler, 'b', 0, options);
    const { client, events } = createClient(options);
    await client.call(peer, explain('before'), 1_250);
    await expect(client.call(peer, explain('never'), 1_250)).rejects.toThrow('in time');
    await client.call(peer, explain('after'), 1_250);
    expect(events.events.map(({ event }) => event)).not.toContain('peerLost');
  });

  it('keeps an idle connection that answers pings', async () => {
    const { peer } = await startServer();
    const forwarder = new TcpForwarder(peer.port);
    const port = await forwarder.start();
    cleanups.push(() => forwarder.stop());
    const { client } = createClient();
    await client.call({ ...peer, port }, explain('x'), LONG_MS);
    await new Promise((resolve) => {
      setTimeout(resolve, 3 * heartbeat.heartbeatMs * heartbeat.silentHeartbeatLimit);
    });
    await client.call({ ...peer, port }, explain('x'), LONG_MS);
    expect(forwarder.connectionCount).toBe(1);
  });

  it('gets no reply from a restarted daemon on the same port', async () => {
    // A daemon restarts on the same address and port with a new instance id. A home asks the old
    // instance which grants it still uses. If the new instance answered "none", slots in use would
    // be freed, and two jobs would share one.
    const first = await startServer(echo, 'b-1');
    const { client, events } = createClient();
    await client.call(first.peer, explain('x'), LONG_MS);
    await first.server.stop();
    await waitForEvent(events, 'peerLost');
    let handledCount = 0;
    const second = await startServer(
      async () => {
        handledCount += 1;
        return { type: 'done' };
      },
      'b-2',
      first.peer.port,
    );

    const call = client.call(first.peer, explain('x'), LONG_MS);

    await expect(call).rejects.toMatchObject({ kind: 'peer-unavailable' });
    await waitForEvent(second.events, 'peerMismatched');
    expect(handledCount).toBe(0);
    expect(await client.call(second.peer, explain('x'), LONG_MS)).toEqual({ type: 'done' });
  });

  it('fails outstanding calls at once when the server stops', async () => {
    const { server, peer, events } = await startServer(() => new Promise(() => {}));
    const { client } = createClient();
    const calls = [client.call(peer, explain('x'), LONG_MS), client.call(peer, explain('y'), 1e12)];
    const settled = Promise.allSettled(calls);
    await waitForEvent(events, 'peerConnected');
    await server.stop();
    expect((await settled).map(({ status }) => status)).toEqual(['rejected', 'rejected']);
    await expect(client.call(peer, explain('x'), LONG_MS)).rejects.toThrow('ECONNREFUSED');
  });
});

describe('PeerServer', () => {
  const hello = Buffer.from('a4646b696e646568656c6c6f666e756d6265720164', 'hex');

  it.each([
    { name: 'garbage', bytes: Buffer.from('GET / HTTP/1.1\r\n\r\n') },
    { name: 'an oversized frame', bytes: Buffer.from([0x00, 0x40, 0x00, 0x01]) },
    { name: 'an empty frame', bytes: Buffer.from([0, 0, 0, 0]) },
    { name: 'a cut CBOR value', bytes: Buffer.concat([Buffer.from([0, 0, 0, 20]), hello]) },
    { name: 'an array that claims 2^32 items', bytes: Buffer.from('000000059affffffff', 'hex') },
    { name: 'CBOR that is no frame', bytes: Buffer.from([0, 0, 0, 1, 0x01]) },
    // {kind: "request", number: 1} before any hello.
    {
      name: 'a request before the hello',
      bytes: Buffer.from('00000016a2646b696e646772657175657374666e756d62657201', 'hex'),
    },
  ])('closes a connection that sends $name, and goes on', async ({ bytes }) => {
    const { peer, events } = await startServer();
    const socket = connect(peer.port, HOST);
    socket.on('error', () => {});
    const closed = new Promise((resolve) => {
      socket.on('close', resolve);
    });
    socket.write(bytes);
    await closed;
    await waitForEvent(events, 'frameRejected');
    expect(await createClient().client.call(peer, explain('x'), LONG_MS)).toMatchObject({
      json: 'a x',
    });
  });

  it('names the address on which it cannot listen', async () => {
    const { peer } = await startServer();
    await expect(startServer(echo, 'c', peer.port)).rejects.toThrow(`${HOST}:${peer.port}`);
  });
});
