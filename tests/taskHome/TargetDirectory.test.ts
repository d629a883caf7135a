import { beforeEach, describe, expect, it } from 'vitest';
import { z } from 'zod';
import { MemoryEventLog } from '../../src/logging/index.js';
import { MemoryMetrics } from '../../src/metrics/index.js';
import { decodeRecordValue, encodeRecordValue, type KeyedRecord } from '../../src/store/index.js';
import { formatLifetimeId } from '../../src/targets/index.js';
import type { TargetEntry } from '../../src/taskHome/index.js';
import { TargetDirectory } from '../../src/taskHome/TargetDirectory.js';
import { StoreStandIn } from '../../standins/store/index.js';
import { makeEntry } from './HomeWorld.js';

const PLACE = { topic: 'targets', partition: 0 };
const MAX_READ_COUNT = 2;
const entrySchema = z.object({ isDraining: z.boolean() });

// Guards against a task that begins on a target that announced its leave seconds before. An
// instance that held no home for half a minute opens one again and reads the list of targets once:
// the store limits the number of changes in one answer, and the announcement comes after them.
it('reads all changes since its last refresh, also where they are more than one answer', async () => {
  const store = new StoreStandIn({ partitionCount: 1, maxReadCount: MAX_READ_COUNT });
  const report = (targetId: string, isDraining: boolean) => {
    const records = [{ key: targetId, value: encodeRecordValue({ isDraining }) }];
    return store.append({ ...PLACE, records, timeoutMs: 1_000 });
  };
  const directory = new TargetDirectory({
    ...PLACE,
    store,
    decode: (record) => makeEntry(record.key, decodeRecordValue(entrySchema, record)),
    events: new MemoryEventLog(),
    metrics: new MemoryMetrics(),
  });
  await report('t1', false);
  await directory.refresh();
  await report('t2', false);
  await report('t3', false);
  await report('t2', false);
  await report('t3', false);
  await report('t1', true);
  await directory.refresh();
  expect(directory.list().get('t1')?.isDraining).toBe(true);
});

describe('a target that starts again under its id', () => {
  const KEY = 'i-1';
  const bornSchema = z.object({ bornAtMs: z.number() });
  let store: StoreStandIn;
  let directory: TargetDirectory;

  beforeEach(() => {
    store = new StoreStandIn({ partitionCount: 1 });
    directory = new TargetDirectory({
      ...PLACE,
      store,
      decode: (record) => {
        const { bornAtMs } = decodeRecordValue(bornSchema, record);
        return makeEntry(formatLifetimeId({ instance: record.key, bornAtMs }));
      },
      events: new MemoryEventLog(),
      metrics: new MemoryMetrics(),
    });
  });

  async function report(bornAtMs: number | undefined): Promise<readonly string[]> {
    const value = bornAtMs === undefined ? undefined : encodeRecordValue({ bornAtMs });
    await store.append({ ...PLACE, records: [{ key: KEY, value }], timeoutMs: 1_000 });
    await directory.refresh();
    return [...directory.list().keys()];
  }

  it('is listed in its latest lifetime alone', async () => {
    expect(await report(1)).toEqual(['i-1@1']);
    expect(await report(2)).toEqual(['i-1@2']);
    expect(directory.getLifetimeId(KEY)).toBe('i-1@2');
    expect(await report(undefined)).toEqual([]);
    expect(directory.getLifetimeId(KEY)).toBe(KEY);
  });

  // Guards against a sound lifetime that counts as ended, as a write of the one before comes late.
  it('stays listed when a report of its earlier lifetime comes late', async () => {
    await report(2);
    expect(await report(1)).toEqual(['i-1@2']);
    expect(await report(2)).toEqual(['i-1@2']);
    expect(await report(1)).toEqual(['i-1@2']);
  });

  // Guards against a target without work, as its clock went back before it started again.
  it('is listed with an earlier start once it has reported that twice', async () => {
    await report(2);
    await report(1);
    expect(await report(1)).toEqual(['i-1@1']);
  });
});

// Guards against a log that fills with an entry of another writer, which comes with each heartbeat.
it('tells of an entry that is none of a target once, and counts each', async () => {
  const store = new StoreStandIn({ partitionCount: 1 });
  const events = new MemoryEventLog();
  const metrics = new MemoryMetrics();
  const decode = (record: KeyedRecord): TargetEntry =>
    makeEntry(record.key, decodeRecordValue(entrySchema, record));
  const directory = new TargetDirectory({ ...PLACE, store, decode, events, metrics });
  const report = async (value: unknown): Promise<void> => {
    const records = [{ key: 't1', value: encodeRecordValue(value) }];
    await store.append({ ...PLACE, records, timeoutMs: 1_000 });
    await directory.refresh();
  };
  await report('first');
  await report('second');
  expect(directory.list().size).toBe(0);
  const listEvents = (): readonly string[] => events.events.map(({ event }) => event);
  expect(listEvents()).toEqual(['recordUnreadable']);
  const counted = metrics.measurements.filter(({ name }) => name === 'target_reports_unreadable');
  expect(counted).toHaveLength(2);
  await report({ isDraining: false });
  expect(directory.list().size).toBe(1);
  await report('third');
  expect(directory.list().size).toBe(0);
  expect(listEvents()).toEqual(['recordUnreadable', 'recordUnreadable']);
});
