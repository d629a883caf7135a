import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { RattanliftError } from '../../src/errors/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import type {
  ConfigurationRequest,
  PeerAddress,
  PeerPort,
  PeerRequest,
} from '../../src/peers/index.js';
import {
  ConfigurationFollower,
  ConfigurationPeers,
  type QueueConfiguration,
} from '../../src/queues/index.js';
import { SystemClock } from '../../src/utils/index.js';
import { StoreAccess, StoreStandIn } from '../../standins/store/index.js';

const PLACE = { topic: 'op', partition: 0 };
const PEERS: readonly PeerAddress[] = ['a', 'b'].map((instance) => ({
  instance,
  host: '127.0.0.1',
  port: 1,
}));

function isConfigurationRequest(request: PeerRequest): request is ConfigurationRequest {
  return ['get-configuration-version', 'get-configuration-record'].includes(request.type);
}

describe('ConfigurationPeers', () => {
  const stops: (() => void)[] = [];

  afterEach(() => stops.splice(0).forEach((stop) => stop()));

  async function publish(store: StoreStandIn, version: number): Promise<void> {
    const value = Buffer.from(JSON.stringify({ version, queues: [], pools: [] }));
    await store.append({ ...PLACE, records: [{ key: 'config', value }], timeoutMs: 1_000 });
  }

  function decode(value: Uint8Array): QueueConfiguration {
    return JSON.parse(Buffer.from(value).toString()) as QueueConfiguration;
  }

  function follow(store: StoreAccess, decoder = decode): ConfigurationFollower {
    const follower = new ConfigurationFollower({
      store,
      ...PLACE,
      key: 'config',
      decode: decoder,
      clock: new SystemClock(),
      events: new MemoryEventLog(),
    });
    stops.push(() => follower.stop());
    follower.start();
    return follower;
  }

  function answerFrom(sources: readonly ConfigurationFollower[]) {
    return vi.fn<PeerPort['call']>(async ({ instance }, request) => {
      const source = sources[PEERS.findIndex((peer) => peer.instance === instance)];
      if (source === undefined) {
        throw new RattanliftError({ kind: 'peer-unavailable', message: '' });
      }
      if (!isConfigurationRequest(request)) throw new Error(request.type);
      return source.getReply(request);
    });
  }

  function learn(
    follower: ConfigurationFollower,
    sources: readonly ConfigurationFollower[],
    call = answerFrom(sources),
  ) {
    const clock = new SystemClock();
    const listPeers = (): readonly PeerAddress[] => PEERS;
    const peers = new ConfigurationPeers({ follower, peers: { call }, listPeers, clock });
    stops.push(() => peers.stop());
    peers.start();
    return call;
  }

  /** Cuts an instance from the store, and waits until no reading from before is under way. */
  async function cutOff(access: StoreAccess, follower: ConfigurationFollower): Promise<void> {
    Object.assign(access, { isCut: true });
    await vi.waitFor(() => expect(follower.ageMs).toBeGreaterThan(300));
  }

  async function createCut(): Promise<{
    readonly store: StoreStandIn;
    readonly access: StoreAccess;
    readonly cut: ConfigurationFollower;
    readonly reached: ConfigurationFollower;
  }> {
    const store = new StoreStandIn({ partitionCount: 1 });
    const access = new StoreAccess(store);
    await publish(store, 1);
    const cut = follow(access);
    const reached = follow(new StoreAccess(store));
    await vi.waitFor(() => expect([cut.get()?.version, reached.get()?.version]).toEqual([1, 1]));
    return { store, access, cut, reached };
  }

  // Failure: calls pass under a withdrawn key at an instance that the store turns away.
  it('learns a newer version from a peer while the store turns the instance away', async () => {
    const { store, access, cut, reached } = await createCut();
    learn(cut, [reached]);
    await cutOff(access, cut);
    await publish(store, 2);
    await vi.waitFor(() => expect(cut.get()?.version).toBe(2), 4_000);
    await vi.waitFor(() => expect(cut.ageMs).toBeLessThan(1_300), 4_000);
  }, 10_000);

  // Failure: a newer version waits until a peer that is gone has not replied in time.
  it('learns a newer version at once though another peer is silent', async () => {
    const { store, access, cut, reached } = await createCut();
    const answer = answerFrom([reached, reached]);
    let askedAtMs = Infinity;
    const call = vi.fn<PeerPort['call']>(async (peer, request, waitMs) => {
      askedAtMs = Math.min(askedAtMs, performance.now());
      if (peer.instance === 'b') return answer(peer, request, waitMs);
      await sleep(waitMs);
      throw new RattanliftError({ kind: 'peer-unavailable', message: '' });
    });
    await cutOff(access, cut);
    await publish(store, 2);
    learn(cut, [], call);
    await vi.waitFor(() => expect(cut.get()?.version).toBe(2), { timeout: 4_000, interval: 5 });
    expect(performance.now() - askedAtMs).toBeLessThan(400);
  }, 10_000);

  // Failure: an instance falls back to an older version that a peer still has.
  it('keeps its version where the peers are behind', async () => {
    const { store, access, cut, reached } = await createCut();
    const behindAccess = new StoreAccess(store);
    const behind = follow(behindAccess);
    await vi.waitFor(() => expect(behind.get()?.version).toBe(1));
    behindAccess.isCut = true;
    await publish(store, 2);
    await vi.waitFor(() => expect([cut, reached].map((f) => f.get()?.version)).toEqual([2, 2]));
    access.isCut = true;
    const call = learn(cut, [behind, behind]);
    await vi.waitFor(() => expect(call).toHaveBeenCalled(), 4_000);
    expect(cut.get()?.version).toBe(2);
  }, 10_000);

  // Failure: an instance takes its keys for current because it hears of its peers, though none of
  // them reaches the store either.
  it('ages while no peer reaches the store', async () => {
    const { access, cut, reached } = await createCut();
    reached.stop();
    access.isCut = true;
    learn(cut, [reached]);
    await vi.waitFor(() => expect(cut.ageMs).toBeGreaterThan(2_500), 6_000);
  }, 10_000);

  // Failure: an instance takes its keys for current though it could not read the newer version.
  it('ages while the record that a peer sends cannot be read', async () => {
    const { access, cut } = await createCut();
    access.isCut = true;
    const call = vi.fn<PeerPort['call']>(async (_peer, { type }) =>
      type === 'get-configuration-version'
        ? { type: 'configuration-version', version: 2, ageMs: 0 }
        : { type: 'configuration-record', version: 2, ageMs: 0, compressed: Buffer.from('no') },
    );
    learn(cut, [], call);
    await vi.waitFor(() => expect(cut.ageMs).toBeGreaterThan(2_500), 6_000);
    expect(call.mock.calls.map(([, { type }]) => type)).toContain('get-configuration-record');
    expect(cut.get()?.version).toBe(1);
  }, 10_000);

  // Failure: a large version that a peer has sent takes the processor again as the store sends it.
  it('decodes a version once where a peer sends it before the store', async () => {
    const { store, reached } = await createCut();
    const access = new StoreAccess(store);
    const decoder = vi.fn(decode);
    const cut = follow(access, decoder);
    await vi.waitFor(() => expect(cut.get()?.version).toBe(1));
    learn(cut, [reached]);
    await cutOff(access, cut);
    await publish(store, 2);
    await vi.waitFor(() => expect(cut.get()?.version).toBe(2), 4_000);
    access.isCut = false;
    await publish(store, 3);
    await vi.waitFor(() => expect(cut.get()?.version).toBe(3), 4_000);
    const versions = decoder.mock.results.map(({ value }) => (value as QueueConfiguration).version);
    expect(versions).toEqual([1, 2, 3]);
  }, 10_000);

  it('asks nobody while the store answers', async () => {
    const { cut, reached } = await createCut();
    const call = learn(cut, [reached]);
    await new Promise((resolve) => {
      setTimeout(resolve, 1_600);
    });
    expect(call).not.toHaveBeenCalled();
  });
});
