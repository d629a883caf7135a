import { beforeEach, describe, expect, it } from 'vitest';
import { EntryApplier } from '../../src/log/EntryApplier.js';
import { serializeTables } from '../../src/log/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { FleetTables } from '../../src/tables/index.js';

const DRAIN = { type: 'vm-drain-ordered', author: 'anna' };

const makeEntry = (offset: number, body: object = { ...DRAIN, vm: `vm-${offset}` }) => ({
  offset,
  payload: {
    formatVersion: 1,
    recordId: `r-${offset}`,
    writer: 'anna',
    body,
  },
});

describe('EntryApplier', () => {
  let tables: FleetTables;
  let events: MemoryEventLog;
  let applier: EntryApplier;
  let appliedOffsets: number[];

  beforeEach(() => {
    tables = new FleetTables();
    events = new MemoryEventLog();
    applier = new EntryApplier({ tables, events });
    appliedOffsets = [];
    applier.addAppliedListener(({ offset }) => appliedOffsets.push(offset));
  });

  it('holds offered entries back until those before them have been read', async () => {
    const wait = applier.waitForOffset(2, {});
    applier.offer([makeEntry(2), makeEntry(1)]);
    expect(appliedOffsets).toEqual([]);
    applier.applyRead([makeEntry(0)], 1);
    expect(appliedOffsets).toEqual([0, 1, 2]);
    expect(await wait).toBe(true);
  });

  it('counts the records that a read reports and does not return, each once', () => {
    applier.applyRead([makeEntry(0), makeEntry(1)], 5);
    expect(applier.getLagCount()).toBe(3);
    applier.offer([makeEntry(0), makeEntry(2)]);
    expect(applier.getLagCount()).toBe(2);
    expect(appliedOffsets).toEqual([0, 1, 2]);
  });

  it('restores a newer state, applies the entries offered after it and notifies listeners', () => {
    const other = new FleetTables();
    const ahead = new EntryApplier({ tables: other, events });
    ahead.applyRead([makeEntry(0), makeEntry(1)], 2);
    applier.offer([makeEntry(2)]);
    const restoredAt: number[] = [];
    applier.addRestoredListener(() => restoredAt.push(tables.nextOffset));
    expect(applier.restore(serializeTables(other)).type).toBe('restored');
    expect(restoredAt).toEqual([2]);
    expect(appliedOffsets).toEqual([2]);
    expect(tables.drains.size).toBe(3);
    expect(applier.restore(serializeTables(other)).type).not.toBe('restored');
  });

  it('logs a record that the fold rejects', () => {
    const release = { type: 'home-released', pool: 'team/pool', instance: 'i1', term: 3 };
    applier.applyRead([makeEntry(0, release)], 1);
    expect(events.events).toMatchObject([
      { event: 'recordRejected', fields: { offset: 0, writer: 'anna', type: 'home-released' } },
    ]);
    expect(tables.nextOffset).toBe(1);
  });

  it('ends waits as not reached, also those that come after the end', async () => {
    const wait = applier.waitForOffset(0, {});
    applier.endWaits();
    expect(await wait).toBe(false);
    expect(await applier.waitForOffset(0, {})).toBe(false);
    applier.applyRead([makeEntry(0)], 1);
    expect(await applier.waitForOffset(0, {})).toBe(true);
  });
});
