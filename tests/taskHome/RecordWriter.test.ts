import { describe, expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { getMaxAppendBytes, RecordWriter } from '../../src/taskHome/index.js';
import { SystemClock } from '../../src/utils/index.js';
import { StoreStandIn } from '../../standins/store/index.js';

/** Bytes that 10 Mbit/s carry in 0.2 s, a fifth of the longest wait for an answer. */
const LARGEST_APPEND_BYTES = 250_000;

/** Shortest wait for the answer of an append, in milliseconds. */
const SHORTEST_WAIT_MS = 250;

function createWriter(
  store: StoreStandIn,
  term: number,
  onFenced = vi.fn(),
  maxAppendBytes?: number,
  events = new MemoryEventLog(),
): RecordWriter {
  return new RecordWriter({
    maxAppendBytes,
    store,
    topic: 'jobs',
    partition: 0,
    producer: 'home',
    term,
    clock: new SystemClock(),
    events,
    onFenced,
  });
}

const record = (key: string) => ({ key, value: Buffer.from(key) });

describe('RecordWriter', () => {
  it('writes what comes together in one append', async () => {
    const store = new StoreStandIn({ partitionCount: 1 });
    const writer = createWriter(store, 1);
    await Promise.all(['a', 'b', 'c'].map((key) => writer.write([record(key)])));
    expect(store.appendCount).toBe(1);
  });

  it('repeats an append whose answer was lost without doubling it', async () => {
    const store = new StoreStandIn({ partitionCount: 1 });
    const writer = createWriter(store, 1);
    store.faults.losesAnswers = true;
    const written = writer.write([record('a')]);
    await vi.waitFor(() => expect(store.appendCount).toBe(1));
    store.faults.losesAnswers = false;
    await written;
    expect((await store.readNewest('jobs', 0)).endOffset).toBe(1);
  });

  it('logs an append that has been repeated for more than a second', async () => {
    const store = new StoreStandIn({ partitionCount: 1 });
    const events = new MemoryEventLog();
    const writer = createWriter(store, 1, undefined, undefined, events);
    store.faults.rejects = true;
    const written = writer.write([record('a'), record('b')]);
    await vi.waitFor(
      () => expect(events.events.map(({ event }) => event)).toContain('appendHeld'),
      3_000,
    );
    store.faults.rejects = false;
    await written;
    const held = events.events.find(({ event }) => event === 'appendHeld');
    expect(held?.fields).toMatchObject({ topic: 'jobs', partition: 0, term: 1, recordCount: 2 });
    expect(held?.fields.attemptCount).toBeGreaterThan(1);
  });

  it('knows where the partition ends after its latest stored append', async () => {
    const store = new StoreStandIn({ partitionCount: 1 });
    const writer = createWriter(store, 1);
    expect(writer.endOffset).toBeUndefined();
    await writer.write([record('a'), record('b')]);
    expect(writer.endOffset).toBe(2);
    const append = vi.spyOn(store, 'append');
    store.faults.rejects = true;
    const written = writer.write([record('c')]);
    await vi.waitFor(() => expect(append.mock.calls.length).toBeGreaterThan(1));
    expect(writer.endOffset).toBe(2);
    store.faults.rejects = false;
    await written;
    expect(writer.endOffset).toBe(3);
  });

  // Guards against a home that closes itself under load: it waits for earlier writes by an append
  // without records, which the store does not count, so its next number is out of sequence.
  it('waits for earlier writes without an append of its own', async () => {
    const store = new StoreStandIn({ partitionCount: 1 });
    const writer = createWriter(store, 1);
    store.faults.rejects = true;
    const first = writer.write([record('a')]);
    await vi.waitFor(() => expect(writer.write([])).toBeInstanceOf(Promise));
    let isWaitOver = false;
    const wait = writer.write([]).then(() => {
      isWaitOver = true;
    });
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    expect(isWaitOver).toBe(false);
    store.faults.rejects = false;
    await Promise.all([first, wait]);
    expect(store.appendCount).toBe(1);
    await writer.write([]);
    expect(store.appendCount).toBe(1);
  });

  it('ends once a later term writes', async () => {
    const store = new StoreStandIn({ partitionCount: 1 });
    const onFenced = vi.fn();
    const writer = createWriter(store, 1, onFenced);
    await writer.write([record('a')]);
    await createWriter(store, 2).write([record('b')]);
    await expect(writer.write([record('c')])).rejects.toMatchObject({ kind: 'outcome-unknown' });
    expect(onFenced).toHaveBeenCalledOnce();
    await expect(writer.write([record('d')])).rejects.toMatchObject({ kind: 'home-unavailable' });
    const { records } = await store.readNewest('jobs', 0);
    expect(records.map(({ key }) => key)).toEqual(['a', 'b']);
  });

  // Guards against a home on a slow link that cannot write after the store is back: during the
  // outage 2 MB have accumulated, which take 1.6 s on 10 Mbit/s. The append times out after at most
  // 1 s and is repeated as a whole without end, since a repeat must be the same append.
  it('writes what has gathered in appends that a narrow link carries in time', async () => {
    const store = new StoreStandIn({ partitionCount: 1 });
    const append = vi.spyOn(store, 'append');
    const writer = createWriter(store, 1);
    const records = Array.from({ length: 1_000 }, (_r, number) => ({
      key: `spec/job-${number}`,
      value: Buffer.alloc(2_000),
    }));
    await writer.write(records);
    const sizesBytes = append.mock.calls.map(([request]) =>
      request.records.reduce((sum, { value }) => sum + value!.length, 0),
    );
    expect(sizesBytes.reduce((sum, bytes) => sum + bytes, 0)).toBe(2_000_000);
    expect(Math.max(...sizesBytes)).toBeLessThanOrEqual(LARGEST_APPEND_BYTES);
    const { records: stored } = await store.readNewest('jobs', 0);
    expect(stored).toHaveLength(1_000);
  });

  // Guards against appends that time out and are repeated on a link of 2 Mbit/s: an append sized
  // for 10 Mbit/s takes 0.5 s there, and the first wait for an answer is 0.25 s.
  it('writes smaller appends where its link is narrower', async () => {
    const store = new StoreStandIn({ partitionCount: 1 });
    const append = vi.spyOn(store, 'append');
    const linkMbps = 2;
    const writer = createWriter(store, 1, vi.fn(), getMaxAppendBytes(linkMbps));
    await writer.write(
      Array.from({ length: 100 }, (_r, number) => ({
        key: `spec/job-${number}`,
        value: Buffer.alloc(2_000),
      })),
    );
    const sizesBytes = append.mock.calls.map(([request]) =>
      request.records.reduce((sum, { value }) => sum + value!.length, 0),
    );
    expect(sizesBytes.reduce((sum, bytes) => sum + bytes, 0)).toBe(200_000);
    const longestMs = (Math.max(...sizesBytes) * 8) / (linkMbps * 1_000);
    expect(longestMs).toBeLessThanOrEqual(SHORTEST_WAIT_MS / 2);
  });

  // Guards against "not run" for a job that runs: 40 jobs that arrive together are split over
  // several appends, and the home is replaced after the first append is stored.
  it('reports an unknown outcome for a call of which some records were sent', async () => {
    const store = new StoreStandIn({ partitionCount: 1 });
    const writer = createWriter(store, 1);
    const makeRecords = (name: string) =>
      Array.from({ length: 100 }, (_r, number) => ({
        key: `${name}/${number}`,
        value: Buffer.alloc(2_000),
      }));
    const written = writer.write(makeRecords('first'));
    await Promise.resolve();
    const unsent = writer.write(makeRecords('second'));
    writer.close();
    await expect(written).rejects.toMatchObject({ kind: 'outcome-unknown' });
    await expect(unsent).rejects.toMatchObject({ kind: 'home-unavailable' });
  });
});
