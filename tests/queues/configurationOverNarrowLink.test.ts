import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import type { ConfigurationRequest, PeerAddress, PeerReply } from '../../src/peers/index.js';
import {
  ConfigurationFollower,
  ConfigurationPeers,
  type QueueConfiguration,
} from '../../src/queues/index.js';
import type { KeyedLogPort } from '../../src/store/index.js';
import { AttendedClock, LinkedCalls, LinkedStore, NarrowLink } from '../../standins/links/index.js';
import { StoreAccess, StoreStandIn } from '../../standins/store/index.js';

const PLACE = { topic: 'op', partition: 0 };
/** Links have small windows: others have their turns beside a large answer. */
const WINDOW_BYTES = 64 * 1_024;
/** 4,250 routes. */
const RECORD_BYTES = 800_000;
/** Longest time from a change to its being in force, in milliseconds. */
const IN_FORCE_WITHIN_MS = 3_000;
/** Time for which an entry waits for a home, in milliseconds. */
const HOME_WAIT_MS = 1_200;
/** Time in which retries would show, in milliseconds. */
const WATCHED_MS = 4_000;
/** How long the store waits for a change before it answers, in milliseconds. */
const STORE_WAIT_MS = 1_000;
/** Age of a configuration shortly before the store ends its wait for a change, in milliseconds. */
const OLD_MS = 850;
/** Age by which no reading from before a cut is under way, in milliseconds. */
const CUT_MS = 1_100;
const AT_ONCE = { timeout: 4_000, interval: 5 };
const CALL_INTERVAL_MS = 100;
const SHORT_BYTES = 100;
const PEERS: readonly PeerAddress[] = ['a', 'b', 'c'].map((instance) => ({
  instance,
  host: '127.0.0.1',
  port: 1,
}));

function measureReply(reply: PeerReply): number {
  return reply.type === 'configuration-record' ? reply.compressed.length : SHORT_BYTES;
}

/** A record that compresses like names drawn at random. */
function makeRecord(version: number): Buffer {
  const name = (place: number): string =>
    Math.sin(place + version)
      .toString(36)
      .slice(2, 12);
  const rows = Array.from({ length: RECORD_BYTES / 180 }, (_unused, place) => ({
    name: name(place),
    path: name(place + 0.5),
    filler:
      'max_attempts timeout_ms target_duration_ms stretch backend priority public host methods'.padEnd(
        110,
      ),
  }));
  return Buffer.from(JSON.stringify({ version, queues: [], pools: [], rows }));
}

/** An instance behind a narrow link, and three that the store has told everything. */
class NarrowWorld {
  readonly store = new StoreStandIn({ partitionCount: 1, longestWaitMs: STORE_WAIT_MS });

  readonly access = new StoreAccess(this.store);

  readonly clock = new AttendedClock();

  readonly link: NarrowLink;

  readonly narrow: ConfigurationFollower;

  /** Longest time that a short call over the link has taken, in milliseconds. */
  longestCallMs = 0;

  private readonly sources: readonly ConfigurationFollower[];

  private readonly peers: ConfigurationPeers;

  private readonly timer: NodeJS.Timeout;

  constructor(linkMbps: number, peers: readonly PeerAddress[]) {
    const { clock } = this;
    const bitsPerMs = linkMbps * 1_000;
    this.link = new NarrowLink({ bitsPerMs, windowBytes: WINDOW_BYTES, clock });
    this.narrow = this.follow(new LinkedStore(this.access, this.link));
    this.sources = PEERS.map(() => this.follow(this.store));
    const calls = new LinkedCalls(this.link);
    this.peers = new ConfigurationPeers({
      follower: this.narrow,
      peers: {
        call: ({ instance }, request, timeoutMs) =>
          calls.call({
            requestBytes: SHORT_BYTES,
            run: async () => this.answer(instance, request as ConfigurationRequest),
            measure: measureReply,
            timeoutMs,
          }),
      },
      listPeers: () => peers,
      clock,
    });
    this.timer = setInterval(() => {
      void this.callHome();
    }, CALL_INTERVAL_MS);
  }

  start(): void {
    [this.narrow, ...this.sources].forEach((follower) => follower.start());
    this.peers.start();
  }

  stop(): void {
    clearInterval(this.timer);
    [this.narrow, ...this.sources, this.peers].forEach((part) => part.stop());
  }

  async publish(version: number, value: Buffer): Promise<void> {
    const records = [{ key: 'config', value }];
    await this.store.append({ ...PLACE, records, timeoutMs: 1_000 });
  }

  private follow(store: KeyedLogPort): ConfigurationFollower {
    return new ConfigurationFollower({
      store,
      ...PLACE,
      key: 'config',
      decode: (value) => JSON.parse(Buffer.from(value).toString()) as QueueConfiguration,
      clock: this.clock,
      events: new MemoryEventLog(),
    });
  }

  private answer(instance: string, request: ConfigurationRequest): PeerReply {
    const place = PEERS.findIndex((peer) => peer.instance === instance);
    return this.sources[place]!.getReply(request);
  }

  /** Makes a short call, such as one of an entry to a home. */
  private async callHome(): Promise<void> {
    const startedAtMs = this.clock.monotonicMs();
    await this.link.transfer('up', SHORT_BYTES);
    await this.link.transfer('down', SHORT_BYTES);
    this.longestCallMs = Math.max(this.longestCallMs, this.clock.monotonicMs() - startedAtMs);
  }
}

describe('a configuration over a narrow link', () => {
  const worlds: NarrowWorld[] = [];

  afterEach(() => worlds.splice(0).forEach((world) => world.stop()));

  async function startWorld(linkMbps: number, peers = PEERS): Promise<NarrowWorld> {
    const world = new NarrowWorld(linkMbps, peers);
    worlds.push(world);
    await world.publish(1, Buffer.from(JSON.stringify({ version: 1, queues: [], pools: [] })));
    world.start();
    await vi.waitFor(() => expect(world.narrow.get()?.version).toBe(1), 4_000);
    return world;
  }

  // Failure: a large version comes from the store and three peers at once, and nothing else passes.
  it('carries a large version about once, and short calls beside it', async () => {
    const world = await startWorld(7);
    const record = makeRecord(2);
    await vi.waitFor(() => expect(world.narrow.ageMs).toBeGreaterThan(OLD_MS), AT_ONCE);
    const beforeBytes = world.link.carriedBytes.down;
    await world.publish(2, record);
    const publishedAtMs = world.clock.monotonicMs();
    await vi.waitFor(() => expect(world.narrow.get()?.version).toBe(2), 8_000);
    expect(world.clock.monotonicMs() - publishedAtMs).toBeLessThan(IN_FORCE_WITHIN_MS);
    await sleep(WATCHED_MS);
    expect(world.link.carriedBytes.down - beforeBytes).toBeLessThan(1.5 * record.length);
    expect(world.longestCallMs).toBeLessThan(HOME_WAIT_MS);
  }, 20_000);

  // Failure: an instance that the store turns away gets a large version too late, from three peers.
  it.each([7, 2])(
    'brings a large version from peers in time, over %s Mbit/s',
    async (linkMbps) => {
      const world = await startWorld(linkMbps);
      world.access.isCut = true;
      await vi.waitFor(() => expect(world.narrow.ageMs).toBeGreaterThan(CUT_MS), AT_ONCE);
      await world.publish(2, makeRecord(2));
      const publishedAtMs = world.clock.monotonicMs();
      await vi.waitFor(() => expect(world.narrow.get()?.version).toBe(2), 12_000);
      expect(world.clock.monotonicMs() - publishedAtMs).toBeLessThan(IN_FORCE_WITHIN_MS);
    },
    20_000,
  );

  // Failure: the newest version waits behind those that it has replaced while the store was away.
  it('reads the newest of several large versions in time after an outage', async () => {
    const world = await startWorld(7, []);
    world.access.isCut = true;
    await vi.waitFor(() => expect(world.narrow.ageMs).toBeGreaterThan(CUT_MS), AT_ONCE);
    const versions = [2, 3, 4, 5];
    await Promise.all(versions.map((version) => world.publish(version, makeRecord(version))));
    world.access.isCut = false;
    const backAtMs = world.clock.monotonicMs();
    await vi.waitFor(() => expect(world.narrow.get()?.version).toBe(5), 12_000);
    expect(world.clock.monotonicMs() - backAtMs).toBeLessThan(IN_FORCE_WITHIN_MS);
  }, 20_000);
});
