import { applyEntry } from '../../src/log/index.js';
import type { RecordBody } from '../../src/records/index.js';
import { FleetTables } from '../../src/tables/index.js';

/** Size of a fleet to build. */
export interface FleetSize {
  readonly teamCount: number;
  /** Pools in all; the first teams have them. */
  readonly poolCount: number;
  readonly vmCount: number;
  readonly instanceCount: number;
}

/** Applies a record at the end of a state. */
export function applyBodyAtEnd(tables: FleetTables, body: RecordBody): void {
  const offset = tables.nextOffset;
  const recordId = `bench-instance-1-${offset}`;
  const payload = { formatVersion: 1, recordId, writer: 'bench', body };
  const verdict = applyEntry(tables, { offset, payload });
  if (verdict.type === 'accepted') return;
  throw new Error(`Record ${offset} was not accepted: ${JSON.stringify(verdict)}`);
}

function range(count: number): readonly number[] {
  return Array.from({ length: count }, (_none, index) => index);
}

/** Name of a pool of the fleet. */
export function poolAt(index: number): string {
  return `team-${index}/main`;
}

/** Name of the instance that holds a pool. */
export function holderOf(poolIndex: number, size: FleetSize): string {
  return `instance-${poolIndex % size.instanceCount}`;
}

function documentOf(teamIndex: number, hasPool: boolean): string {
  const jobKind = { coreCount: 1, memoryMb: 256, expectedRunMs: 2_000, idempotent: false };
  const main = {
    neededSlotCount: 20,
    availability: { failureDomain: 'vm', maxUnavailableFraction: 0.5 },
    jobKinds: { save: jobKind, index: jobKind, export: jobKind, match: jobKind },
  };
  const pools = hasPool ? { main } : {};
  return JSON.stringify({ formatVersion: 1, team: `team-${teamIndex}`, pools }, undefined, 2);
}

/** Builds the state of a fleet by its records. */
export function buildFleet(size: FleetSize): FleetTables {
  const tables = new FleetTables();
  range(size.teamCount).forEach((index) =>
    applyBodyAtEnd(tables, {
      type: 'settings-published',
      team: `team-${index}`,
      baseVersion: 0,
      document: documentOf(index, index < size.poolCount),
      author: 'anna',
    }),
  );
  range(size.instanceCount).forEach((index) =>
    applyBodyAtEnd(tables, {
      type: 'instance-joined',
      instance: `instance-${index}`,
      host: '127.0.0.1',
      peerPort: 7000 + index,
      callerPort: 8000 + index,
      dataCentre: 'north',
    }),
  );
  range(size.poolCount).forEach((index) => {
    const instance = holderOf(index, size);
    const pool = poolAt(index);
    applyBodyAtEnd(tables, { type: 'home-claimed', pool, instance, expectedTerm: 0 });
  });
  range(size.vmCount).forEach((index) => {
    const poolIndex = index % size.poolCount;
    applyBodyAtEnd(tables, {
      type: 'vm-adopted',
      vm: `vm-${index}`,
      pool: poolAt(poolIndex),
      instance: holderOf(poolIndex, size),
      term: 1,
      expectedVersion: 0,
    });
  });
  return tables;
}
