import { afterEach, describe, expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { ConfigurationFollower, type QueueConfiguration } from '../../src/queues/index.js';
import type { KeyedLogPort, ReadResult } from '../../src/store/index.js';
import { type Clock, SystemClock } from '../../src/utils/index.js';
import { StoreAccess, StoreStandIn } from '../../standins/store/index.js';
import { AdvancedClock } from '../support/AdvancedClock.js';

const PLACE = { topic: 'op', partition: 0 };

function makeConfiguration(version: number): QueueConfiguration {
  return { version, queues: [], pools: [] };
}

async function publish(store: StoreStandIn, version: number): Promise<void> {
  const value = Buffer.from(JSON.stringify(makeConfiguration(version)));
  await store.append({ ...PLACE, records: [{ key: 'config', value }], timeoutMs: 1_000 });
}

describe('ConfigurationFollower', () => {
  const followers: ConfigurationFollower[] = [];

  function follow(
    store: KeyedLogPort,
    events = new MemoryEventLog(),
    clock: Clock = new SystemClock(),
  ): ConfigurationFollower {
    const follower = new ConfigurationFollower({
      store,
      ...PLACE,
      key: 'config',
      decode: (value) => JSON.parse(Buffer.from(value).toString()) as QueueConfiguration,
      clock,
      events,
    });
    followers.push(follower);
    follower.start();
    return follower;
  }

  afterEach(() => {
    followers.splice(0).forEach((follower) => follower.stop());
  });

  it('has no configuration before the first publication and adopts each newer one', async () => {
    const store = new StoreStandIn({ partitionCount: 1 });
    const follower = follow(store);
    expect(follower.get()).toBeUndefined();
    await publish(store, 3);
    await vi.waitFor(() => expect(follower.get()?.version).toBe(3));
    await publish(store, 7);
    await vi.waitFor(() => expect(follower.get()?.version).toBe(7));
  });

  it('never goes back to an older one', async () => {
    const store = new StoreStandIn({ partitionCount: 1 });
    const events = new MemoryEventLog();
    const follower = follow(store, events);
    await publish(store, 7);
    await vi.waitFor(() => expect(follower.get()?.version).toBe(7));
    await publish(store, 5);
    await publish(store, 8);
    await vi.waitFor(() => expect(follower.get()?.version).toBe(8));
    const inForce = events.events.filter(({ event }) => event === 'configurationInForce');
    expect(inForce.map(({ fields }) => fields.version)).toEqual([7, 8]);
  });

  // Guards against an instance that was paused and accepts keys that were withdrawn meanwhile.
  it('is as old as the answer that waited for this process', async () => {
    const store = new StoreStandIn({ partitionCount: 1 });
    const clock = new AdvancedClock();
    const follower = follow(store, new MemoryEventLog(), clock);
    await publish(store, 3);
    await vi.waitFor(() => expect(follower.get()?.version).toBe(3));
    const read = store.readFrom.bind(store);
    const deliveries: (() => void)[] = [];
    vi.spyOn(store, 'readFrom').mockImplementation(async (request) => {
      const answer = await read(request);
      await new Promise<void>((resolve) => {
        deliveries.push(resolve);
      });
      return answer;
    });
    await vi.waitFor(() => expect(deliveries).toHaveLength(1));
    clock.advance(5_000);
    deliveries[0]!();
    await vi.waitFor(() => expect(deliveries).toHaveLength(2));
    expect(follower.ageMs).toBeGreaterThan(3_900);
    // What a peer has told meanwhile is not taken back by the next answer that is read late.
    clock.advance(5_000);
    follower.confirm(clock.monotonicMs());
    deliveries[1]!();
    await vi.waitFor(() => expect(deliveries).toHaveLength(3));
    expect(follower.ageMs).toBeLessThan(1_000);
  });

  it('keeps the configuration in force if the next one cannot be decoded', async () => {
    const store = new StoreStandIn({ partitionCount: 1 });
    const events = new MemoryEventLog();
    const follower = follow(store, events);
    await publish(store, 3);
    await vi.waitFor(() => expect(follower.get()?.version).toBe(3));
    const records = [{ key: 'config', value: Buffer.from('{') }];
    await store.append({ ...PLACE, records, timeoutMs: 1_000 });
    await vi.waitFor(() =>
      expect(events.events.map(({ event }) => event)).toContain('configurationUnreadable'),
    );
    expect(follower.get()?.version).toBe(3);
  });

  it('reads everything again after the store has dropped its history', async () => {
    const store = new StoreStandIn({ partitionCount: 1 });
    const follower = follow(store);
    await publish(store, 3);
    await vi.waitFor(() => expect(follower.get()?.version).toBe(3));
    store.faults.rejects = true;
    store.faults.rejects = false;
    await publish(store, 4);
    store.dropHistory();
    await vi.waitFor(() => expect(follower.get()?.version).toBe(4));
  });

  // Guards against an instance that refuses queues that were added 9 s before: it is cut off from
  // the store for 20 s during a burst of changes, and then reads all 60 missed configurations of
  // 256 KB each on a narrow link.
  it('reads the newest configuration alone after a burst of changes that it has missed', async () => {
    const store = new StoreStandIn({ partitionCount: 1 });
    const access = new StoreAccess(store);
    const events = new MemoryEventLog();
    const follower = follow(access, events);
    await publish(store, 1);
    await vi.waitFor(() => expect(follower.get()?.version).toBe(1));
    access.isCut = true;
    await vi.waitFor(
      () => expect(events.events.map(({ event }) => event)).toContain('configurationUnreachable'),
      3_000,
    );
    await Array.from({ length: 60 }, (_v, number) => number + 2).reduce(async (before, version) => {
      await before;
      await publish(store, version);
    }, Promise.resolve());
    const readFrom = vi.spyOn(store, 'readFrom');
    access.isCut = false;
    await vi.waitFor(() => expect(follower.get()?.version).toBe(61), 3_000);
    const results = await Promise.all(
      readFrom.mock.results.map(({ value }) =>
        (value as Promise<ReadResult>).catch(() => undefined),
      ),
    );
    const readCount = results
      .map((result) => (result?.type === 'records' ? result.records.length : 0))
      .reduce((sum, count) => sum + count, 0);
    expect(readCount).toBeLessThanOrEqual(5);
  });
});
