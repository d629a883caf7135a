import { beforeEach, expect, it, vi } from 'vitest';
import type { QueueReference } from '../../src/jobs/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { QueuePools } from '../../src/queues/index.js';
import { encodeQueuePool, getQueueKeys } from '../../src/queues/queuePoolRecord.js';
import { ManualClock } from '../../src/utils/index.js';
import { StoreStandIn } from '../../standins/store/index.js';

const QUEUE: QueueReference = {
  queue: 'saves',
  pool: 'pages',
  address: 'wiki.example/save/',
  configurationVersion: 3,
};
const MOVED: QueueReference = { ...QUEUE, pool: 'archive', configurationVersion: 5 };

let store: StoreStandIn;
let clock: ManualClock;
let events: MemoryEventLog;

beforeEach(() => {
  store = new StoreStandIn({ partitionCount: 1 });
  clock = new ManualClock(1_000);
  events = new MemoryEventLog();
});

const open = (): QueuePools => new QueuePools({ store, topic: 'queues', clock, events });

it('tells every instance of the pools that were registered before', async () => {
  await open().register(QUEUE);
  const later = open();
  await later.register(MOVED);
  expect(later.listOthers(MOVED)).toEqual(['pages']);
  expect(later.listPools()).toEqual(['pages', 'archive']);
});

// Guards against two pools of one queue that accept the same job, as neither knows of the other.
it('refuses to register a pool after a later version has sent the queue elsewhere', async () => {
  const behind = open();
  await behind.refresh();
  await open().register(MOVED);
  await expect(behind.register(QUEUE)).rejects.toMatchObject({ kind: 'outcome-unknown' });
  expect(behind.getVersion(QUEUE)).toBeUndefined();
});

// Guards against two pools that accept the same job, as a page holds the later registration alone.
it('counts no registration of a read that is not complete', async () => {
  const pools = open();
  await open().register(QUEUE);
  const readFrom = vi.spyOn(store, 'readFrom').mockRejectedValue(new Error('No answer.'));
  await expect(pools.refresh()).rejects.toMatchObject({ kind: 'home-unavailable' });
  expect(pools.getVersion(QUEUE)).toBeUndefined();
  readFrom.mockRestore();
  clock.advance(500);
  await pools.refresh();
  expect(pools.getVersion(QUEUE)).toBe(3);
});

// Guards against a version that falls, as an append that was held up is carried out late.
it('keeps the highest version of a pool', async () => {
  const pools = open();
  const back = { ...QUEUE, configurationVersion: 7 };
  await pools.register(QUEUE);
  await open().register(MOVED);
  await pools.register(back);
  const { pool } = QUEUE;
  const late = getQueueKeys(QUEUE).map((queueKey) =>
    encodeQueuePool({ queueKey, pool, configurationVersion: 3 }),
  );
  await store.append({ topic: 'queues', partition: 0, records: late, timeoutMs: 100 });
  clock.advance(1_000);
  await pools.refresh();
  expect(pools.getVersion(back)).toBe(7);
});

it('knows a queue that has changed its address by its name', async () => {
  const pools = open();
  await pools.register(QUEUE);
  const moved = { ...MOVED, address: 'wiki.example/store/' };
  expect(pools.listOthers(moved)).toEqual(['pages']);
});

// Guards against jobs that are accepted while nobody can tell which other pool has them.
it('refuses while the store does not answer, and logs that once', async () => {
  const pools = open();
  store.faults.isSilent = true;
  await expect(pools.register(QUEUE)).rejects.toMatchObject({ kind: 'home-unavailable' });
  await expect(pools.register(QUEUE)).rejects.toMatchObject({ kind: 'home-unavailable' });
  expect(events.events.map(({ event }) => event)).toEqual(['queuePoolsUnreachable']);
  store.faults.isSilent = false;
  await pools.register(QUEUE);
  expect(pools.getVersion(QUEUE)).toBe(3);
});

// Guards against a store that is read for each of many questions about unknown jobs.
it('reads at most twice a second for questions', async () => {
  const pools = open();
  const readNewest = vi.spyOn(store, 'readNewest');
  const readFrom = vi.spyOn(store, 'readFrom');
  await Promise.all(Array.from({ length: 50 }, () => pools.refresh()));
  const countCalls = (): number => readNewest.mock.calls.length + readFrom.mock.calls.length;
  const before = countCalls();
  await pools.refresh();
  expect(countCalls()).toBe(before);
  clock.advance(500);
  await pools.refresh();
  expect(countCalls()).toBeGreaterThan(before);
});

it('stores a registration once for requests that come together', async () => {
  const pools = open();
  await Promise.all(Array.from({ length: 50 }, () => pools.register(QUEUE)));
  expect(store.appendCount).toBe(1);
});
