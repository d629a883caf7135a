import { expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { PartitionOpening } from '../../src/taskHome/PartitionOpening.js';
import { StoreStandIn } from '../../standins/store/index.js';

const isWanted = () => true;

// A settlement ran twice: two instances read a partition at the same moment, while the store was
// slow, and both opened it in the same term. The store took the second append for a repeat of the
// first, as both had the same number, and answered it like the first. Each then wrote what the
// store took for repeats of the other's, so that ends were acknowledged and never stored.
it('lets one of two instances open a partition that have read it at the same moment', async () => {
  const store = new StoreStandIn({ partitionCount: 1 });
  const events = new MemoryEventLog();
  const open = (instance: string) =>
    new PartitionOpening({
      store,
      topic: 'jobs',
      partition: 0,
      instance,
      isWanted,
      events,
    }).attempt();
  const opened = await Promise.all([open('a'), open('b')]);
  expect(opened.filter((partition) => partition !== undefined)).toHaveLength(1);
  const next = await open('c');
  expect(next?.term).toBe(2);
});

// A pool had no home for as long as the earlier home worked on: reading its partition took longer
// than the earlier home's pause between two appends, so that the end had moved at each attempt, and
// each attempt read everything again.
it('reads only what came between where the earlier home has written meanwhile', async () => {
  const store = new StoreStandIn({ partitionCount: 1 });
  const append = (key: string) =>
    store.append({
      topic: 'jobs',
      partition: 0,
      records: [{ key, value: Buffer.from(key) }],
      timeoutMs: 1_000,
    });
  await append('other/1');
  const readNewest = vi.spyOn(store, 'readNewest');
  const events = new MemoryEventLog();
  const place = { topic: 'jobs', partition: 0 };
  const opening = new PartitionOpening({ ...place, store, instance: 'a', isWanted, events });
  vi.spyOn(store, 'append').mockImplementationOnce(async (request) => {
    await append('other/2');
    return store.append(request);
  });
  expect(await opening.attempt()).toBeUndefined();
  const opened = await opening.attempt();
  expect(opened?.records.map(({ key }) => key)).toEqual(['other/1', 'other/2']);
  expect(readNewest).toHaveBeenCalledOnce();
});

// A pool lost its home for seconds: the platform had given its partition to another instance while
// a slow one was still reading it, and the slow one then raised the term over the home's.
it('raises no term once the partition has gone to another instance', async () => {
  const store = new StoreStandIn({ partitionCount: 1 });
  const append = vi.spyOn(store, 'append');
  const events = new MemoryEventLog();
  const place = { topic: 'jobs', partition: 0, instance: 'slow', isWanted: () => false };
  expect(await new PartitionOpening({ ...place, store, events }).attempt()).toBeUndefined();
  expect(append).not.toHaveBeenCalled();
});
