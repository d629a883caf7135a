import { FleetHome, type FleetHomeOptions } from '../../src/fleetHome/index.js';
import { decodeVmOrderRecord, type VmOrderRecord } from '../../src/fleetHome/VmOrderRecord.js';
import { VmOrders } from '../../src/fleetHome/VmOrders.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { MemoryMetrics } from '../../src/metrics/index.js';
import type { KeyedRecord } from '../../src/store/index.js';
import { ALL_MECHANISMS, type PoolDemand } from '../../src/systems/index.js';
import { ManualClock } from '../../src/utils/index.js';
import type { EndedTargets, FleetVm } from '../../src/vms/index.js';
import { FleetStandIn } from '../../standins/vms/index.js';

/** Minimum time between the orders of two holders for one VM, in milliseconds. */
export const ORDER_LEASE_MS = 3_000;
const VMS: readonly FleetVm[] = ['vm-1', 'vm-2'].map((vm) => ({
  vm,
  pool: 'spares',
  state: 'up',
  targetId: undefined,
  rack: 'r1',
}));

/** Creates the demand of a pool whose targets run nothing. */
export function makeDemand(
  pool: string,
  neededCpuMillicores: number,
  targetIds: readonly string[] = [],
): PoolDemand {
  return {
    pool,
    targets: targetIds.map((targetId) => ({
      targetId,
      runCount: 0,
      longRunningCount: 0,
      usedCpuMillicores: 0,
      cpuMillicores: 32_000,
    })),
    waitingCpuMillicores: neededCpuMillicores,
    neededCpuMillicores,
    lateCpuMillicores: 0,
    wholeVmCount: 0,
    jobCount: 3,
  };
}

/** Test environment with VMs, a store of orders and a clock, shared by the holders of a test. */
export class OrderWorld {
  readonly clock = new ManualClock(50_000);

  readonly events = new MemoryEventLog();

  readonly metrics = new MemoryMetrics();

  readonly fleet: FleetStandIn;

  /** Demands that the homes of pools report, by pool. */
  readonly demands = new Map<string, PoolDemand>([['pages', makeDemand('pages', 64_000)]]);

  /** Drained targets that were sent to the homes of pools, one element per call. */
  readonly drainedByCall: (readonly string[])[] = [];

  /** Ended lifetimes that were sent to the homes of pools, one element per call. */
  readonly endedByCall: { readonly pool: string; readonly ended: EndedTargets }[] = [];

  /** Stored records: the newest of each key. */
  readonly stored = new Map<string, KeyedRecord>();

  constructor(vms: readonly FleetVm[] = VMS) {
    this.fleet = new FleetStandIn({ vms, onLifetime: () => undefined });
  }

  store = async (records: readonly KeyedRecord[]): Promise<void> => {
    records.forEach((record) => {
      if (record.value === undefined) this.stored.delete(record.key);
      else this.stored.set(record.key, record);
    });
  };

  get orderRecords(): readonly VmOrderRecord[] {
    return [...this.stored.values()]
      .map((record) => decodeVmOrderRecord(record))
      .filter((record) => record !== undefined);
  }

  createOrders(term: number, holder = `holder-${term}`): VmOrders {
    const { clock, events, fleet, orderRecords } = this;
    return new VmOrders({
      port: fleet,
      holder,
      term,
      clock,
      events,
      orderLeaseMs: ORDER_LEASE_MS,
      orderRecords,
      store: (records) => this.store(records),
      onStaleTerm: () => undefined,
    });
  }

  listOrders(): readonly string[] {
    return this.fleet.orders.map(({ vm, holder }) => `${vm} by ${holder}`);
  }
}

/** Creates a home of the fleet whose pools have the demands of the environment. */
export function createFleetHome(
  world: OrderWorld,
  changes: Partial<FleetHomeOptions> = {},
): FleetHome {
  const { clock, events, fleet, metrics, orderRecords } = world;
  return new FleetHome({
    port: fleet,
    getLifetimeId: (instance) => instance,
    holder: 'holder-2',
    term: 2,
    clock,
    events,
    metrics,
    mechanisms: ALL_MECHANISMS,
    orderLeaseMs: ORDER_LEASE_MS,
    waveRecords: [],
    peakRecords: [],
    forecastRecords: [],
    orderRecords,
    listWaveOrders: () => [],
    listPools: () => [...world.demands.keys()],
    listStandbyPools: () => ['spares'],
    listOrganisations: () => [],
    isGroupLeaseHeld: () => true,
    syncPool: async (pool, drained, ended) => {
      world.drainedByCall.push(drained);
      world.endedByCall.push({ pool, ended });
      return world.demands.get(pool);
    },
    store: (records) => world.store(records),
    publishStatus: async () => undefined,
    onReplaced: () => undefined,
    ...changes,
  });
}
