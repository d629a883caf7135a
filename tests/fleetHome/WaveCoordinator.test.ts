import { describe, expect, it } from 'vitest';
import { WaveCoordinator } from '../../src/fleetHome/WaveCoordinator.js';
import type { VmOrder, VmOrders } from '../../src/fleetHome/VmOrders.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { ALL_MECHANISMS } from '../../src/systems/index.js';
import { ManualClock } from '../../src/utils/index.js';
import type { FleetVm } from '../../src/vms/index.js';

const ORDER = { wave: 1, vms: ['m1', 'm2'], withinMs: 20_000, maxDownCount: 1 };

/** Leads a wave over two VMs of which an earlier home has taken the first one down. */
async function leadWave(first: FleetVm, tooEarly: readonly string[]): Promise<readonly string[]> {
  const given: string[] = [];
  const orders: Pick<VmOrders, 'listAway' | 'listTooEarly' | 'isAway' | 'give'> = {
    listAway: () => [],
    listTooEarly: () => tooEarly,
    isAway: () => false,
    give: async ({ vm }: VmOrder) => {
      given.push(vm);
      return 'accepted';
    },
  };
  const clock = new ManualClock(1_000_000);
  const deadlineAtMs = clock.wallMs() + ORDER.withinMs;
  const coordinator = new WaveCoordinator({
    orders: orders as VmOrders,
    records: [{ wave: 1, deadlineAtMs, doneVms: ['m1'], status: 'running' }],
    listWaveOrders: () => [ORDER],
    store: async () => undefined,
    publishStatus: async () => undefined,
    clock,
    events: new MemoryEventLog(),
    mechanisms: ALL_MECHANISMS,
  });
  const vms: readonly FleetVm[] = [first, { vm: 'm2', pool: 'pages', state: 'up' }];
  await coordinator.advance(vms, new Map());
  await coordinator.advance(vms, new Map());
  return given;
}

describe('WaveCoordinator', () => {
  // Ten VMs of a wave were down where nine were allowed: the home of the fleet had changed, and the
  // next one counted its own orders alone.
  it('counts the VMs that an earlier home has taken down', async () => {
    const down: FleetVm = { vm: 'm1', pool: 'pages', state: 'in-maintenance' };
    const up: FleetVm = { ...down, state: 'up' };
    expect(await leadWave(down, [])).toEqual([]);
    expect(await leadWave(up, ['m1'])).toEqual([]);
    expect(await leadWave(up, [])).toEqual(['m2']);
  });
});
