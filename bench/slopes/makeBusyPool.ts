import { poolSchema } from '../../src/settings/index.js';
import { PoolTables } from '../../src/tables/index.js';

const SLOTS_PER_VM = 4;
const VMS_PER_RACK = 8;
const DATA_CENTRE_COUNT = 7;
const RUN_MS = 5_000;

/** Sizes of {@link makeBusyPool}. */
export interface BusyPoolOptions {
  readonly vmCount: number;
  readonly queuedCount: number;
  readonly teamCount: number;
  /** Slots of each VM that are taken. */
  readonly usedSlotsPerVm: number;
  readonly waveRuns: boolean;
}

/**
 * Makes a pool at work.
 * @param options - Its sizes.
 * @returns State as its home holds it.
 */
export function makeBusyPool(options: BusyPoolOptions): PoolTables {
  const settings = poolSchema.parse({
    neededSlotCount: Math.max(1, Math.floor(options.vmCount * SLOTS_PER_VM * 0.7)),
    availability: { failureDomain: 'rack', maxUnavailableFraction: 0.2 },
    jobKinds: { job: { coreCount: 1, memoryMb: 512, expectedRunMs: RUN_MS, idempotent: true } },
    quotas: { '*': { slotCount: 100_000, queuedJobCount: 100_000 } },
  });
  const tables = new PoolTables('team/pool', settings);
  const request = {
    entry: 'entry-1',
    pool: 'team/pool',
    jobKind: 'job',
    urgency: 'normal',
    coreCount: 1,
    memoryMb: 512,
    deadlineMs: 1e9,
  } as const;
  Array.from({ length: options.vmCount }, (ignored, index) => index).forEach((index) => {
    const rack = Math.floor(index / VMS_PER_RACK);
    const vm = `vm-${index}`;
    tables.vms.put({
      vm,
      worker: `worker-${Math.floor(index / 2)}`,
      rack: `rack-${rack}`,
      dataCentre: `dc-${rack % DATA_CENTRE_COUNT}`,
      host: '127.0.0.1',
      port: 1,
      coreCount: 16,
      memoryMb: 65_536,
      acceleratorCount: 0,
      slotCount: SLOTS_PER_VM,
      state: 'live',
      bootId: 'boot-1',
      condition: 'accepting',
    });
    Array.from({ length: options.usedSlotsPerVm }, (none, slot) => `${vm}/${slot}`).forEach(
      (grantId) =>
        tables.grants.put({
          ...request,
          grantId,
          requestId: grantId,
          team: `team-${index % options.teamCount}`,
          vm,
          grantedAtMs: 0,
        }),
    );
  });
  Array.from({ length: options.queuedCount }, (ignored, index) => index).forEach((index) =>
    tables.queue.put({
      ...request,
      attemptId: `attempt-${index}`,
      requestId: `request-${index}`,
      team: `team-${index % options.teamCount}`,
      queuedAtMs: index,
      excludedVms: [],
    }),
  );
  if (options.waveRuns) {
    tables.waves.put({
      wave: 'wave-1',
      pools: ['team/pool'],
      state: 'running',
      reason: '',
      author: 'bench',
      startedOffset: 0,
    });
  }
  return tables;
}
