import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { MemoryMetrics } from '../../src/metrics/index.js';
import { QueuePools } from '../../src/queues/index.js';
import { encodeRecordValue, type GroupPort } from '../../src/store/index.js';
import { ALL_MECHANISMS } from '../../src/systems/index.js';
import {
  type FleetHomeContext,
  PoolPartitions,
  TargetDirectory,
  TaskHomes,
} from '../../src/taskHome/index.js';
import { SystemClock } from '../../src/utils/index.js';
import { LeasedTargetsStandIn } from '../../standins/leasedTargets/index.js';
import { StoreStandIn } from '../../standins/store/index.js';
import { makeEntry } from './HomeWorld.js';

const LEASE_MS = 1_500;
const JOBS_TOPIC = 'jobs';
const TARGETS_TOPIC = 'targets';
/** Pages of the partition, which together take two leases to read. */
const PAGE_COUNT = 10;
const PAGE_MS = 300;
const LOADED_WITHIN_MS = 15_000;
const GIVEN_UP_WITHIN_MS = 15_000;

describe('TaskHomes', () => {
  const events = new MemoryEventLog();
  let store: StoreStandIn;
  let targets: LeasedTargetsStandIn;
  let homes: TaskHomes;
  /** Whether the group assigns the partition to the instance, and whether it answers. */
  let group: { isAssigned: boolean; answers: boolean };
  let renewedAtMs: number[];
  let leftAtMs: number[];
  /** What the homes of the fleet were given, in the order of their terms. */
  let fleetContexts: FleetHomeContext[];

  const groups: GroupPort = {
    join: async ({ generation }) => {
      if (!group.answers) throw new Error('The group did not answer.');
      return { generation, partitions: group.isAssigned ? [0] : [] };
    },
    leave: async () => {
      leftAtMs.push(performance.now());
    },
    listOwners: async () => [],
  };

  const append = (topic: string, keys: readonly string[]) =>
    store.append({
      topic,
      partition: 0,
      records: keys.map((key) => ({ key, value: encodeRecordValue({ key }) })),
      timeoutMs: 1_000,
    });

  /** Lets the partition be read in pages that take long. */
  function readSlowly(): void {
    const { readNewest } = store;
    let page = 0;
    vi.spyOn(store, 'readNewest').mockImplementation(async (topic, partition) => {
      const all = await readNewest.call(store, topic, partition);
      if (topic !== JOBS_TOPIC) return all;
      await sleep(PAGE_MS);
      page += 1;
      const records = all.records.slice(page - 1, page);
      return { ...all, records, nextAfterKey: page >= PAGE_COUNT ? undefined : `${page}` };
    });
  }

  beforeEach(async () => {
    store = new StoreStandIn({ partitionCount: 1 });
    targets = new LeasedTargetsStandIn();
    group = { isAssigned: true, answers: true };
    renewedAtMs = [];
    leftAtMs = [];
    fleetContexts = [];
    targets.add('t1');
    await append(TARGETS_TOPIC, ['t1']);
    await append(
      JOBS_TOPIC,
      Array.from({ length: PAGE_COUNT }, (_none, index) => `other/${index}`),
    );
    const { renew } = targets;
    vi.spyOn(targets, 'renew').mockImplementation((address, renewal) => {
      if (renewal.leaseUntilTargetMs !== undefined) renewedAtMs.push(performance.now());
      return renew.call(targets, address, renewal);
    });
    const clock = new SystemClock();
    homes = new TaskHomes({
      store,
      targets,
      directory: new TargetDirectory({
        store,
        topic: TARGETS_TOPIC,
        partition: 0,
        decode: ({ key }) => makeEntry(key),
        events,
        metrics: new MemoryMetrics(),
      }),
      partitions: new PoolPartitions({ partitionCount: 1, listPools: () => ['pages'] }),
      homeTiming: { targetLeaseMs: LEASE_MS, targetWaitMs: 10, keepFinishedMs: 60_000 },
      listOrganisations: () => [],
      queuePools: new QueuePools({ store, topic: 'queues', clock, events }),
      topic: JOBS_TOPIC,
      termsTopic: 'terms',
      maxAppendBytes: 100_000,
      maxRecordBytes: 262_144,
      linkMbps: 7,
      metrics: new MemoryMetrics(),
      mechanisms: ALL_MECHANISMS,
      createFleetHome: (context) => {
        fleetContexts.push(context);
        return { start: () => undefined, close: () => undefined } as never;
      },
      groups,
      group: 'homes',
      member: 'a',
      groupTiming: { ttlMs: 1_000, renewEveryMs: 50, shortestWaitMs: 300, longestWaitMs: 1_000 },
      clock,
      events,
      shouldHold: () => true,
    });
  });

  afterEach(async () => {
    await homes.stop();
  });

  // Guards against leases that lapse as a new claim waits for the reading of the home before.
  it('renews leases though the partition goes away and comes back while it is read', async () => {
    readSlowly();
    homes.start();
    await vi.waitFor(() => expect(renewedAtMs.length).toBeGreaterThan(0), 3_000);
    group.isAssigned = false;
    await sleep(200);
    group.isAssigned = true;
    await vi.waitFor(() => expect(homes.get('pages')?.isLoaded).toBe(true), LOADED_WITHIN_MS);
    const gapsMs = renewedAtMs.slice(1).map((atMs, index) => atMs - renewedAtMs[index]!);
    expect(Math.max(...gapsMs)).toBeLessThan(LEASE_MS);
  });

  it('logs up to which offset a home has read its partition', async () => {
    homes.start();
    await vi.waitFor(() => expect(homes.get('pages')?.isLoaded).toBe(true), LOADED_WITHIN_MS);
    const { claimed, term } = homes.get('pages')!;
    const { endOffset } = await store.readNewest(JOBS_TOPIC, 0);
    expect(claimed.endOffset).toBe(endOffset);
    const opened = events.events.findLast(({ event }) => event === 'taskHomeOpened');
    expect(opened?.fields).toMatchObject({ partition: 0, term, endOffset });
  });

  it('logs a partition that takes long to open', async () => {
    readSlowly();
    homes.start();
    await vi.waitFor(() => expect(homes.get('pages')?.isLoaded).toBe(true), LOADED_WITHIN_MS);
    const fields = { partitionCount: 1, partitions: ['0'], phase: 'reading', isLeaseHeld: true };
    expect(events.events).toContainEqual({
      event: 'partitionsUnopened',
      fields: expect.objectContaining(fields),
    });
  });

  // Guards against a pool without a home as its partition was away while it was being claimed.
  it('opens a partition that goes away and comes back while it is claimed', async () => {
    const { append: appendRecords } = store;
    let claimCount = 0;
    vi.spyOn(store, 'append').mockImplementation(async (request) => {
      claimCount += request.topic === JOBS_TOPIC ? 1 : 0;
      if (request.topic === JOBS_TOPIC && claimCount === 1) {
        group.isAssigned = false;
        await sleep(200);
        group.isAssigned = true;
        await sleep(200);
      }
      return appendRecords.call(store, request);
    });
    homes.start();
    await vi.waitFor(() => expect(homes.get('pages')?.isLoaded).toBe(true), 5_000);
  });

  // Guards against two instances that replace each other in turns, each by an outdated share.
  it('claims nothing after a replacement until the group has answered', async () => {
    homes.start();
    await vi.waitFor(() => expect(homes.get('pages')?.isLoaded).toBe(true), LOADED_WITHIN_MS);
    group.answers = false;
    const { term } = homes.get('pages')!;
    const fence = { producer: 'home', term: term + 1, sequence: 1 };
    await store.append({ topic: JOBS_TOPIC, partition: 0, records: [], fence, timeoutMs: 1_000 });
    await expect(homes.get('pages')!.store([])).resolves.toBeUndefined();
    await homes
      .get('pages')!
      .store([{ key: 'other/x', value: undefined }])
      .catch(() => undefined);
    const claim = vi.spyOn(store, 'append');
    await sleep(500);
    expect(claim).not.toHaveBeenCalled();
    group.answers = true;
    await vi.waitFor(() => expect(homes.get('pages')?.term).toBeGreaterThan(term + 1), 3_000);
  });

  // Guards against a home that a late answer to the fleet's home of an earlier term closes.
  it('keeps its home as the fleet home of an earlier term learns that it was replaced', async () => {
    homes.start();
    await vi.waitFor(() => expect(homes.get('pages')?.isLoaded).toBe(true), LOADED_WITHIN_MS);
    group.isAssigned = false;
    await vi.waitFor(() => expect(homes.get('pages')).toBeUndefined(), 3_000);
    group.isAssigned = true;
    await vi.waitFor(() => expect(homes.get('pages')?.isLoaded).toBe(true), LOADED_WITHIN_MS);
    const home = homes.get('pages');
    fleetContexts[0]!.onReplaced();
    expect(homes.get('pages')).toBe(home);
    fleetContexts[1]!.onReplaced();
    expect(homes.get('pages')).toBeUndefined();
  });

  // Guards against a pool without a home, as its partition stays where the store gives no records.
  it('leaves the group while it can read no partition, and comes back later', async () => {
    const { readNewest } = store;
    let isTurnedAway = true;
    vi.spyOn(store, 'readNewest').mockImplementation(async (topic, partition) => {
      if (isTurnedAway && topic === JOBS_TOPIC) throw new Error('The store answered 503.');
      return readNewest.call(store, topic, partition);
    });
    homes.start();
    await vi.waitFor(() => expect(leftAtMs).toHaveLength(1), GIVEN_UP_WITHIN_MS);
    expect(homes.get('pages')).toBeUndefined();
    isTurnedAway = false;
    await vi.waitFor(() => expect(homes.get('pages')?.isLoaded).toBe(true), LOADED_WITHIN_MS);
    expect(leftAtMs).toHaveLength(1);
  });
});
