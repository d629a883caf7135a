import { expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { PartitionOpening } from '../../src/taskHome/PartitionOpening.js';
import { encodeRecordValue } from '../../src/store/index.js';
import { HOME_PRODUCER } from '../../src/taskHome/PartitionTerms.js';
import { StoreStandIn } from '../../standins/store/index.js';

const PLACE = { topic: 'jobs', termsTopic: 'terms', partition: 0 };

const makeOpening = (store: StoreStandIn, instance: string): PartitionOpening =>
  new PartitionOpening({
    ...PLACE,
    store,
    pages: store,
    instance,
    mayClaim: () => true,
    events: new MemoryEventLog(),
  });

// Guards against a task that runs twice: two instances read a partition at the same moment, while
// the store is slow, and both open it in the same term. If both appends have the same number, the
// store treats the second as a repeat of the first and answers it alike. Later records of each
// instance then count as repeats of the other's, so ends are acknowledged but never stored.
it('lets one of two instances open a partition that have read it at the same moment', async () => {
  const store = new StoreStandIn({ partitionCount: 1 });
  const open = (instance: string) => makeOpening(store, instance).claim();
  const opened = await Promise.all([open('a'), open('b')]);
  expect(opened.filter((partition) => partition !== undefined)).toHaveLength(1);
  const next = await open('c');
  expect(next?.term).toBe(2);
});

// Guards against a pool without a home while the earlier one appends faster than it can be read.
it('reads what the earlier home appends up to the claim, and ends its appends', async () => {
  const store = new StoreStandIn({ partitionCount: 1 });
  const earlier = await makeOpening(store, 'earlier').claim();
  const append = (key: string, sequence: number) =>
    store.append({
      topic: PLACE.topic,
      partition: 0,
      records: [{ key, value: Buffer.from(key) }],
      fence: {
        producer: HOME_PRODUCER,
        term: earlier!.term,
        sequence: earlier!.sequence + sequence,
      },
      timeoutMs: 1_000,
    });
  await append('other/1', 1);
  vi.spyOn(store, 'append').mockImplementationOnce(async (request) => {
    await append('other/2', 2);
    return store.append(request);
  });
  const opening = makeOpening(store, 'later');
  const claimed = await opening.claim();
  expect(claimed?.term).toBe(2);
  expect(await append('other/3', 3)).toEqual({ type: 'fenced' });
  const { records } = await opening.read(claimed!);
  expect(records.map(({ key }) => key)).toEqual(['term', 'other/1', 'other/2']);
});

// Guards against an opening that starts over after each change of homes and never completes.
it('reads only new records after a claim of another home', async () => {
  const store = new StoreStandIn({ partitionCount: 1 });
  const readNewest = vi.spyOn(store, 'readNewest');
  const opening = makeOpening(store, 'a');
  await opening.read((await opening.claim())!);
  const other = await makeOpening(store, 'b').claim();
  await store.append({
    topic: PLACE.topic,
    partition: 0,
    records: [{ key: 'other/1', value: Buffer.from('1') }],
    fence: { producer: HOME_PRODUCER, term: other!.term, sequence: other!.sequence + 1 },
    timeoutMs: 1_000,
  });
  const claimed = await opening.claim();
  expect(claimed?.term).toBe(3);
  const { records } = await opening.read(claimed!);
  expect(records.map(({ key }) => key)).toEqual(['term', 'other/1']);
  const pages = readNewest.mock.calls.filter(([topic]) => topic === PLACE.topic);
  expect(pages).toHaveLength(1);
});

// Guards against leases that lapse while the term is looked for among all records of the jobs.
it('claims a term without reading the partition', async () => {
  const store = new StoreStandIn({ partitionCount: 1 });
  await makeOpening(store, 'a').claim();
  const readNewest = vi.spyOn(store, 'readNewest');
  expect((await makeOpening(store, 'b').claim())?.term).toBe(2);
  expect(readNewest.mock.calls.map(([topic]) => topic)).toEqual([PLACE.termsTopic]);
});

// Guards against a partition that nobody opens after an update from a version without that topic.
it('claims a term above one that is recorded among the jobs alone', async () => {
  const store = new StoreStandIn({ partitionCount: 1 });
  await store.append({
    topic: PLACE.topic,
    partition: 0,
    records: [{ key: 'term', value: encodeRecordValue({ term: 7, instance: 'earlier' }) }],
    fence: { producer: HOME_PRODUCER, term: 7, sequence: 1 },
    timeoutMs: 1_000,
  });
  const readNewest = vi.spyOn(store, 'readNewest');
  const opening = makeOpening(store, 'a');
  const claims = [await opening.claim(), await opening.claim(), await opening.claim()];
  expect(claims).toEqual([undefined, undefined, undefined]);
  expect((await opening.claim())?.term).toBeGreaterThan(7);
  expect(readNewest.mock.calls.every(([topic]) => topic === PLACE.termsTopic)).toBe(true);
});

// Guards against a partition that stays closed as the record of its latest term is unreadable.
it('claims a term though the recorded one is unreadable', async () => {
  const store = new StoreStandIn({ partitionCount: 1 });
  await store.append({
    topic: PLACE.termsTopic,
    partition: 0,
    records: [{ key: 'term', value: Buffer.from('?') }],
    timeoutMs: 1_000,
  });
  expect((await makeOpening(store, 'a').claim())?.term).toBe(1);
});

// Guards against a partition without a home as the record of its latest claim was lost.
it('claims the next term though the latest one was not recorded', async () => {
  const store = new StoreStandIn({ partitionCount: 1 });
  const append = store.append.bind(store);
  vi.spyOn(store, 'append').mockImplementation(async (request) => {
    if (request.topic === PLACE.termsTopic) throw new Error('lost');
    return append(request);
  });
  await makeOpening(store, 'a').claim();
  const readNewest = vi.spyOn(store, 'readNewest');
  const opening = makeOpening(store, 'b');
  expect(await opening.claim()).toBeUndefined();
  expect((await opening.claim())?.term).toBe(2);
  expect(readNewest.mock.calls.every(([topic]) => topic === PLACE.termsTopic)).toBe(true);
});

// Guards against a home that is fenced by a slow instance which has lost the partition to it.
it('raises no term once the partition has gone to another instance', async () => {
  const store = new StoreStandIn({ partitionCount: 1 });
  const append = vi.spyOn(store, 'append');
  const opening = new PartitionOpening({
    ...PLACE,
    store,
    pages: store,
    instance: 'slow',
    mayClaim: () => false,
    events: new MemoryEventLog(),
  });
  expect(await opening.claim()).toBeUndefined();
  expect(append).not.toHaveBeenCalled();
});
