import { afterEach, describe, expect, it, vi } from 'vitest';
import type { FleetHome } from '../../src/fleetHome/index.js';
import type { PoolDemand } from '../../src/systems/index.js';
import { createFleetHome, makeDemand, OrderWorld } from './OrderWorld.js';

const VM = { vm: 'vm-1', pool: 'pages', state: 'up', targetId: 't-1', rack: 'r1' } as const;
const WAVE = { wave: 1, vms: ['vm-1'], withinMs: 60_000, maxDownCount: 1 };
const LIMIT = { cpuMillicores: 100, memoryMb: 0, gpuCount: 0 };
const COUNCIL = { name: 'council', weight: 1, limit: LIMIT, keyDigests: [] };
const NONE = { cpuMillicores: 0, memoryMb: 0, gpuCount: 0 };
/** Two such replies, one after the other, take longer than loads count. */
const REPLY_MS = 1_100;

/** Demand of an empty pool in which tasks wait for a part of a limit, again and again. */
const DEMAND: PoolDemand = {
  ...makeDemand('pages', 0, ['t-1']),
  limitReport: { homeTerm: 1, isApplied: false, isOutdated: false, parts: [] },
  organisationUse: [{ organisation: 'council', used: NONE, waiting: LIMIT }],
};

describe('FleetHome with slow replies of pools', () => {
  let home: FleetHome;

  afterEach(() => home.close());

  // Guards against maintenance of a VM with tasks: a second call, for limits alone, made the loads
  // of the first one look fresh.
  it('orders no maintenance by loads from before the raise of limits', async () => {
    const world = new OrderWorld([VM]);
    home = createFleetHome(world, {
      listPools: () => ['pages'],
      listStandbyPools: () => [],
      listOrganisations: () => [COUNCIL],
      listWaveOrders: () => [WAVE],
      syncPool: async () => {
        world.clock.advance(REPLY_MS);
        return DEMAND;
      },
    });
    home.start();
    const listOutcomes = () =>
      world.events.events
        .filter(({ event }) => event === 'vmOrdered')
        .map(({ fields }) => fields.outcome);
    await vi.waitFor(() => expect(listOutcomes()).not.toEqual([]), 5_000);
    expect(new Set(listOutcomes())).toEqual(new Set(['outdated']));
  });
});
