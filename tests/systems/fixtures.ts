import { poolSchema, type PoolSettings } from '../../src/settings/index.js';
import {
  type GrantRow,
  PoolTables,
  type PoolVmRow,
  type QueuedRow,
  type WaveStepRow,
} from '../../src/tables/index.js';

/** Name of the pool in the fixtures. */
export const POOL = 'trentvale/wiki';

/** Makes settings of a pool; the changes replace the fixture's defaults. */
export function makeSettings(changes: Readonly<Record<string, unknown>> = {}): PoolSettings {
  return poolSchema.parse({
    neededSlotCount: 40,
    availability: { failureDomain: 'rack', maxUnavailableFraction: 0.3 },
    jobKinds: {
      save: { coreCount: 1, memoryMb: 512, expectedRunMs: 1_000, idempotent: false },
      index: { coreCount: 1, memoryMb: 1_024, expectedRunMs: 5_000, idempotent: true },
      archive: {
        coreCount: 1,
        memoryMb: 1_024,
        expectedRunMs: 600_000,
        idempotent: true,
        urgency: 'overnight',
        checkpointable: true,
      },
    },
    ...changes,
  });
}

/** Makes a VM in a rack, named `vm-<rack>-<index>`. */
export function makeVm(rack: number, index: number, changes: Partial<PoolVmRow> = {}): PoolVmRow {
  const vm = `vm-${String(rack).padStart(2, '0')}-${String(index).padStart(2, '0')}`;
  return {
    vm,
    worker: `worker-${vm}`,
    rack: `rack-${String(rack).padStart(2, '0')}`,
    dataCentre: `dc-${rack % 3}`,
    host: '127.0.0.1',
    port: 1,
    coreCount: 16,
    memoryMb: 16_384,
    acceleratorCount: 0,
    slotCount: 4,
    state: 'live',
    bootId: 'boot-1',
    condition: 'accepting',
    ...changes,
  };
}

/** Makes a pool whose racks have four VMs of four slots each. */
export function makePool(rackCount: number, settings = makeSettings()): PoolTables {
  const tables = new PoolTables(POOL, settings);
  const indices = Array.from({ length: rackCount * 4 }, (ignored, index) => index);
  indices.forEach((index) => tables.vms.put(makeVm(Math.floor(index / 4), index % 4)));
  return tables;
}

/** Changes VMs of a pool. */
export function changeVms(
  tables: PoolTables,
  vms: readonly string[],
  changes: Partial<PoolVmRow>,
): void {
  vms.forEach((vm) => tables.vms.put({ ...tables.vms.getOrThrow(vm), ...changes }));
}

/** Starts a wave over the pool. */
export function startWave(tables: PoolTables, state: 'running' | 'paused' = 'running'): void {
  tables.waves.put({
    wave: 'wave-1',
    pools: [POOL],
    state,
    reason: '',
    author: 'ann',
    startedOffset: 1,
  });
}

/** Puts a step of the wave with the given state for each VM. */
export function putSteps(
  tables: PoolTables,
  vms: readonly string[],
  state: WaveStepRow['state'],
): void {
  vms.forEach((vm) =>
    tables.waveSteps.put({ wave: 'wave-1', pool: POOL, vm, term: 1, bootId: 'boot-1', state }),
  );
}

/** Makes a queued request of the kind `save`. */
export function makeRequest(attemptId: string, changes: Partial<QueuedRow> = {}): QueuedRow {
  return {
    attemptId,
    requestId: attemptId,
    entry: 'entry-1',
    pool: POOL,
    team: 'wiki',
    jobKind: 'save',
    urgency: 'normal',
    coreCount: 1,
    memoryMb: 512,
    queuedAtMs: 0,
    deadlineMs: 3_600_000,
    excludedVms: [],
    ...changes,
  };
}

/** Makes a grant for a run of the kind `save`. */
export function makeGrant(grantId: string, vm: string, changes: Partial<GrantRow> = {}): GrantRow {
  const { attemptId, queuedAtMs, excludedVms, ...request } = makeRequest(grantId);
  return { ...request, grantId, vm, grantedAtMs: -60_000, ...changes };
}

/** Fills slots of a VM with grants. */
export function fillVm(
  tables: PoolTables,
  vm: string,
  count: number,
  changes: Partial<GrantRow> = {},
): void {
  Array.from({ length: count }, (ignored, index) => `${vm}/${index}`).forEach((grantId) =>
    tables.grants.put(makeGrant(grantId, vm, changes)),
  );
}
