import { expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { PartitionOpening } from '../../src/taskHome/PartitionOpening.js';
import { StoreStandIn } from '../../standins/store/index.js';

const isWanted = () => true;

// Guards against a task that runs twice: two instances read a partition at the same moment, while
// the store is slow, and both open it in the same term. If both appends have the same number, the
// store treats the second as a repeat of the first and answers it alike. Later records of each
// instance then count as repeats of the other's, so ends are acknowledged but never stored.
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

// Guards against a pool that has no home while the earlier home is still active: reading the
// partition takes longer than the earlier home's pause between two appends, so its end offset has
// moved at each attempt, and each attempt reads everything again.
it('reads only new records after an append of the earlier home', async () => {
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

// Guards against a pool that loses its home for seconds: the platform assigns its partition to
// another instance while a slow one is still reading it, and the slow one then raises the term
// above that of the new home.
it('raises no term once the partition has gone to another instance', async () => {
  const store = new StoreStandIn({ partitionCount: 1 });
  const append = vi.spyOn(store, 'append');
  const events = new MemoryEventLog();
  const place = { topic: 'jobs', partition: 0, instance: 'slow', isWanted: () => false };
  expect(await new PartitionOpening({ ...place, store, events }).attempt()).toBeUndefined();
  expect(append).not.toHaveBeenCalled();
});
