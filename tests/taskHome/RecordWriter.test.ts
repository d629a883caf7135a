import { describe, expect, it, vi } from 'vitest';
import { MemoryEventLog } from '../../src/logging/index.js';
import { RecordWriter } from '../../src/taskHome/index.js';
import { SystemClock } from '../../src/utils/index.js';
import { StoreStandIn } from '../../standins/store/index.js';

function createWriter(store: StoreStandIn, term: number, onFenced = vi.fn()): RecordWriter {
  return new RecordWriter({
    store,
    topic: 'jobs',
    partition: 0,
    producer: 'home',
    term,
    clock: new SystemClock(),
    events: new MemoryEventLog(),
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

  // A home closed itself in the middle of a rush: it had waited for earlier writes by an append
  // without records, which the store does not count, so its next number came out of sequence.
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
});
