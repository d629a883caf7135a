import { expect, it, vi } from 'vitest';
import { KeyedFollower, type KeyedLogPort, type KeyedRecord } from '../../src/store/index.js';
import { StoreStandIn } from '../../standins/store/index.js';

const PAGE_SIZE = 2;

/** A store that serves its newest records in pages; the first request for each page fails. */
class PagedStore implements Pick<KeyedLogPort, 'readNewest' | 'readFrom'> {
  readonly store = new StoreStandIn({ partitionCount: 1 });

  /** `afterKey` of each requested page, in order; undefined for the first page. */
  readonly requestedAfterKeys: (string | undefined)[] = [];

  readonly readFrom = this.store.readFrom.bind(this.store);

  async readNewest(
    topic: string,
    partition: number,
    afterKey?: string,
  ): ReturnType<KeyedLogPort['readNewest']> {
    const isRepeat = this.requestedAfterKeys.includes(afterKey);
    this.requestedAfterKeys.push(afterKey);
    if (!isRepeat) throw new Error('The page was lost.');
    const { records, endOffset } = await this.store.readNewest(topic, partition);
    const from = records.findIndex(({ key }) => key === afterKey) + 1;
    const page = records.slice(from, from + PAGE_SIZE);
    const isLast = from + PAGE_SIZE >= records.length;
    return { records: page, endOffset, nextAfterKey: isLast ? undefined : page.at(-1)!.key };
  }

  async append(...keys: readonly string[]): Promise<void> {
    const records = keys.map((key) => ({ key, value: Buffer.from(key) }));
    await this.store.append({ topic: 'jobs', partition: 0, records, timeoutMs: 1_000 });
  }
}

// Guards against a partition of several pages that is never read completely: if the store loses one
// answer in three, each attempt loses a page, and the next attempt restarts from the first page.
it('resumes a reload with the page that was lost', async () => {
  const store = new PagedStore();
  await store.append('a', 'b', 'c', 'd', 'e');
  const taken = new Map<string, KeyedRecord>();
  const follower = new KeyedFollower({
    store,
    topic: 'jobs',
    partition: 0,
    onRecord: (record) => taken.set(record.key, record),
  });
  await expect(follower.read(0)).rejects.toThrow('lost');
  await expect(follower.read(0)).rejects.toThrow('lost');
  await store.append('f', 'a');
  await expect(follower.read(0)).rejects.toThrow('lost');
  expect(follower.endOffset).toBeUndefined();
  await follower.read(0);
  expect(store.requestedAfterKeys).toEqual([undefined, undefined, 'b', 'b', 'd', 'd']);
  expect([...taken.keys()].toSorted()).toEqual(['a', 'b', 'c', 'd', 'e', 'f']);
  expect(follower.endOffset).toBe(7);
});

// Guards against a partition that waits seconds for its home: an instance that has not followed the
// list of targets for a minute reads 14,000 reports, though only the newest 350 are needed.
it('reloads the newest records when it is far behind', async () => {
  const store = new StoreStandIn({ partitionCount: 1, maxReadCount: 1_000 });
  const append = (count: number) =>
    store.append({
      topic: 'targets',
      partition: 0,
      records: Array.from({ length: count }, () => ({ key: 'a', value: Buffer.from('up') })),
      timeoutMs: 1_000,
    });
  await append(1);
  const follower = new KeyedFollower({
    store,
    topic: 'targets',
    partition: 0,
    onRecord: () => undefined,
  });
  await follower.read(0);
  await append(14_000);
  const readFrom = vi.spyOn(store, 'readFrom');
  await follower.read(0);
  expect(follower.endOffset).toBe(14_001);
  expect(readFrom.mock.calls.length).toBeLessThanOrEqual(2);
});

// Guards against a partition that has no home for as long as targets report themselves as fast as a
// narrow link carries their reports: the end of their list moves on with each answer.
it.each([
  ['a little', 25],
  ['far', 100],
])(
  'returns from a read that is %s behind while records arrive as it reads',
  async (_how, count) => {
    const store = new StoreStandIn({ partitionCount: 1, maxReadCount: 10 });
    const place = { topic: 'targets', partition: 0 };
    const append = (recordCount: number) =>
      store.append({
        ...place,
        records: Array.from({ length: recordCount }, () => ({
          key: 'a',
          value: Buffer.from('up'),
        })),
        timeoutMs: 1_000,
      });
    await append(1);
    const follower = new KeyedFollower({
      ...place,
      store,
      onRecord: () => undefined,
      maxLagCount: 40,
    });
    await follower.read(0);
    await append(count);
    const { readFrom, readNewest } = store;
    let answerCount = 0;
    const growAfter = async <Answer>(answer: Promise<Answer>): Promise<Answer> => {
      const answered = await answer;
      answerCount += 1;
      if (answerCount < 100) await append(60);
      return answered;
    };
    vi.spyOn(store, 'readFrom').mockImplementation((request) =>
      growAfter(readFrom.call(store, request)),
    );
    vi.spyOn(store, 'readNewest').mockImplementation((topic, partition) =>
      growAfter(readNewest.call(store, topic, partition)),
    );
    await follower.read(0);
    expect(answerCount).toBeLessThan(10);
    expect(follower.endOffset).toBeGreaterThanOrEqual(1 + count);
  },
);
