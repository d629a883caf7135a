import { afterEach, describe, expect, it } from 'vitest';
import { serializeTables, SnapshotWriter } from '../../src/log/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import type { FleetTables } from '../../src/tables/index.js';
import { ManualClock } from '../../src/utils/index.js';
import { createInstance } from './support/createInstance.js';
import { MemoryLog } from './support/MemoryLog.js';

const stops: (() => Promise<void>)[] = [];
afterEach(async () => {
  await Promise.all(stops.splice(0).map((stop) => stop()));
});

function drainRecords(from: number, to: number) {
  return Array.from({ length: to - from }, (_none, index) => ({
    formatVersion: 1,
    recordId: `r-${from + index}`,
    writer: 'anna',
    body: { type: 'vm-drain-ordered', vm: `vm-${from + index}`, author: 'anna' },
  }));
}

function setUp(log = new MemoryLog()) {
  const instance = createInstance(log);
  stops.push(() => instance.follower.stop());
  return { log, ...instance };
}

async function writeSnapshot(log: MemoryLog, tables: FleetTables): Promise<void> {
  const writer = new SnapshotWriter({
    log,
    tables,
    clock: new ManualClock(),
    events: new MemoryEventLog(),
    makeSnapshotId: () => 's',
    recordCount: 1,
    longestAgeMs: 1_000,
  });
  await writer.writeIfDue();
}

describe('LogFollower', () => {
  it('continues after an outage in which the log did not respond', async () => {
    const { log, follower, tables, events } = setUp();
    follower.start();
    await expect.poll(() => follower.isAtEnd).toBe(true);
    log.readFault = 'hang';
    await log.append('control', drainRecords(0, 1_200));
    await expect.poll(() => follower.isLogUnavailable).toBe(true);
    const { lastReachedAtMs } = follower;
    log.readFault = 'none';
    expect(await follower.waitForOffset(1_199)).toBe(true);
    await expect.poll(() => follower.lastReachedAtMs).toBeGreaterThan(lastReachedAtMs!);
    expect(tables.drains.size).toBe(1_200);
    const names = events.events.map(({ event }) => event);
    expect(names).toEqual(['logUnreachable', 'logReachable']);
  });

  it('applies pushed entries in order, whatever order they came in', async () => {
    const { log, follower, tables } = setUp();
    await log.append('control', drainRecords(0, 4));
    const [first, second, third, fourth] = log.entriesOf('control');
    follower.offer([third!, second!]);
    expect(tables.nextOffset).toBe(0);
    follower.offer([first!, first!]);
    expect(tables.nextOffset).toBe(3);
    follower.offer([second!, fourth!]);
    expect(tables.drains.list().map((row) => row.vm)).toEqual(['vm-0', 'vm-1', 'vm-2', 'vm-3']);
  });

  it('ends a wait at its limit', async () => {
    const { follower } = setUp();
    const aborted = AbortSignal.abort();
    expect(await follower.waitForOffset(0, { waitMs: 1 })).toBe(false);
    expect(await follower.waitForOffset(0, { signal: aborted })).toBe(false);
  });

  it('continues from a snapshot when the retention has removed records that it needs', async () => {
    // Failure: one instance misses an operator's drain order and sends work to the VM.
    // The instance was disconnected for longer than the log keeps records, and continuing from
    // the first record kept would skip the order.
    const { log, follower, tables, events } = setUp();
    await log.append('control', drainRecords(0, 5));
    follower.start();
    await follower.waitForOffset(4);
    log.readFault = 'refuse';
    await expect.poll(() => follower.isLogUnavailable).toBe(true);
    await log.append('control', drainRecords(5, 30));
    const other = setUp(log);
    log.entriesOf('control').forEach((entry) => other.follower.offer([entry]));
    log.truncate('control', 20);
    log.readFault = 'none';
    await expect.poll(() => follower.isTruncated).toBe(true);
    expect(events.events.at(-1)?.event).toBe('logTruncated');
    expect(tables.nextOffset).toBe(5);
    await writeSnapshot(log, other.tables);
    expect(await follower.waitForOffset(29)).toBe(true);
    expect(follower.isTruncated).toBe(false);
    expect(serializeTables(tables)).toEqual(serializeTables(other.tables));
  });

  it('begins from the latest snapshot', async () => {
    const { log, follower, tables, events } = setUp();
    const other = setUp(log);
    await log.append('control', drainRecords(0, 10));
    other.follower.offer(log.entriesOf('control'));
    await writeSnapshot(log, other.tables);
    follower.start();
    await follower.waitForOffset(9);
    expect(events.events).toMatchObject([{ event: 'snapshotLoaded', fields: { nextOffset: 10 } }]);
    expect(tables.drains.size).toBe(10);
  });
});
