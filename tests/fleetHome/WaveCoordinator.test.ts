import { describe, expect, it, vi } from 'vitest';
import { estimateLeftMs } from '../../src/fleetHome/estimateLeftMs.js';
import { decodeVmOrderRecord } from '../../src/fleetHome/VmOrderRecord.js';
import { type VmOrder, VmOrders } from '../../src/fleetHome/VmOrders.js';
import { WaveCoordinator } from '../../src/fleetHome/WaveCoordinator.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { ALL_MECHANISMS } from '../../src/systems/index.js';
import type { KeyedRecord } from '../../src/store/index.js';
import { type Clock, ManualClock } from '../../src/utils/index.js';
import type { FleetVm } from '../../src/vms/index.js';
import { FleetStandIn } from '../../standins/vms/index.js';

const ORDER_LEASE_MS = 3_000;
const IDLE = { runCount: 0, longRunningCount: 0, usedCpuMillicores: 0, cpuMillicores: 4_000 };
const ORDER = { wave: 1, vms: ['m1', 'm2'], withinMs: 20_000, maxDownCount: 1 };

/** Creates a coordinator that has taken over a wave from an earlier home. */
function createCoordinator(
  orders: VmOrders,
  clock: Clock,
  doneVms: readonly string[] = [],
): WaveCoordinator {
  const deadlineAtMs = clock.wallMs() + ORDER.withinMs;
  return new WaveCoordinator({
    orders,
    records: [{ wave: 1, deadlineAtMs, leftMs: ORDER.withinMs, doneVms, status: 'running' }],
    listWaveOrders: () => [ORDER],
    store: async () => undefined,
    publishStatus: async () => undefined,
    clock,
    events: new MemoryEventLog(),
    mechanisms: ALL_MECHANISMS,
  });
}

/** Advances a wave of two VMs, the first of which an earlier home has taken down. */
async function advanceWave(
  first: FleetVm,
  leasedVms: readonly string[],
): Promise<readonly string[]> {
  const orderedVms: string[] = [];
  const orders: Pick<
    VmOrders,
    'listActiveOrders' | 'listLeasedVms' | 'listUnconfirmedVms' | 'issue'
  > = {
    listActiveOrders: () => [],
    listLeasedVms: () => leasedVms,
    listUnconfirmedVms: () => [],
    issue: async ({ vm }: VmOrder) => {
      orderedVms.push(vm);
      return 'accepted';
    },
  };
  const clock = new ManualClock(1_000_000);
  const coordinator = createCoordinator(orders as VmOrders, clock, ['m1']);
  const vms: readonly FleetVm[] = [first, { vm: 'm2', pool: 'pages', state: 'up' }];
  await coordinator.advance(vms, new Map());
  await coordinator.advance(vms, new Map());
  return orderedVms;
}

/** Counts the VMs of a large wave that a coordinator drains while the wall clock jumps. */
async function countDrained(jumpMs: number): Promise<number> {
  const clock = new ManualClock(1_000_000);
  const names = Array.from({ length: 40 }, (_vm, number) => `m${number}`);
  const order = { wave: 1, vms: names, withinMs: 120_000, maxDownCount: 20 };
  const vms = names.map((vm): FleetVm => ({ vm, pool: 'pages', state: 'up', targetId: vm }));
  const orders: Pick<VmOrders, 'listActiveOrders' | 'listLeasedVms' | 'listUnconfirmedVms'> = {
    listActiveOrders: () => [],
    listLeasedVms: () => [],
    listUnconfirmedVms: () => [],
  };
  const events = new MemoryEventLog();
  const coordinator = new WaveCoordinator({
    orders: orders as VmOrders,
    records: [],
    listWaveOrders: () => [order],
    store: async () => undefined,
    publishStatus: async () => undefined,
    clock,
    events,
    mechanisms: ALL_MECHANISMS,
  });
  const loads = new Map(names.map((vm) => [vm, { ...IDLE, targetId: vm, runCount: 1 }]));
  await coordinator.advance(vms, loads);
  clock.jump(jumpMs);
  await coordinator.advance(vms, loads);
  return events.events.filter(({ event }) => event === 'vmDraining').length;
}

describe('estimateLeftMs', () => {
  const record = { deadlineAtMs: 1_100_000, leftMs: 100_000 };

  it('counts the time since the record by the clocks', () => {
    expect(estimateLeftMs(record, 1_005_000)).toBe(95_000);
  });

  it('uses the wall clocks if the record has no time left', () => {
    expect(estimateLeftMs({ deadlineAtMs: 1_100_000 }, 1_000_000)).toBe(100_000);
  });

  it.each([40, -40])('uses the stored time left if the clocks are %i minutes apart', (minutes) => {
    expect(estimateLeftMs(record, 1_005_000 + minutes * 60_000)).toBe(100_000);
  });
});

describe('WaveCoordinator', () => {
  // Guards against a wave with minutes left that drains half of a pool at once: the clock of its
  // home jumps ahead by 40 minutes, and the wave looks late.
  it.each([40, -40])('goes on as planned while the clock jumps by %i minutes', async (minutes) => {
    expect(await countDrained(minutes * 60_000)).toBe(await countDrained(0));
  });

  // Guards against one VM of a wave too many being down, ten instead of nine: after a change of the
  // fleet's home, the next home counts only its own orders.
  it('counts the VMs that an earlier home has taken down', async () => {
    const down: FleetVm = { vm: 'm1', pool: 'pages', state: 'in-maintenance' };
    const up: FleetVm = { ...down, state: 'up' };
    expect(await advanceWave(down, [])).toEqual([]);
    expect(await advanceWave(up, ['m1'])).toEqual([]);
    expect(await advanceWave(up, [])).toEqual(['m2']);
  });

  // Guards against two VMs of a wave being down when one is allowed: an order of the earlier home
  // got no answer and is carried out seconds later, after the next home has taken another VM down.
  // An order of the next home for the VM of the unanswered order prevents that order from being
  // carried out late.
  it('orders the VMs first that an earlier home may have ordered without an answer', async () => {
    const clock = new ManualClock(1_000_000);
    const events = new MemoryEventLog();
    const busy: FleetVm = { vm: 'm1', pool: 'pages', state: 'up', targetId: 't1', rack: 'r1' };
    const idle: FleetVm = { ...busy, vm: 'm2', targetId: 't2' };
    const fleet = new FleetStandIn({ vms: [busy, idle], onLifetime: () => undefined });
    const stored: KeyedRecord[] = [];
    const onStaleTerm = () => undefined;
    const common = { port: fleet, clock, events, orderLeaseMs: ORDER_LEASE_MS, onStaleTerm };
    const store = async (records: readonly KeyedRecord[]) => {
      stored.push(...records);
    };
    const first = new VmOrders({ ...common, holder: 'a', term: 1, orderRecords: [], store });
    vi.spyOn(fleet, 'maintainVm').mockRejectedValueOnce(new Error('no answer'));
    await first.issue({ type: 'maintain', vm: 'm1', wave: 1 }, 't1');
    clock.advance(2 * ORDER_LEASE_MS);
    await first.settle();
    const orderRecords = stored.slice(-1).map((record) => decodeVmOrderRecord(record)!);
    const orders = new VmOrders({ ...common, holder: 'b', term: 2, orderRecords, store });
    const coordinator = createCoordinator(orders, clock);
    const loads = new Map([
      ['t1', { ...IDLE, targetId: 't1', runCount: 1 }],
      ['t2', { ...IDLE, targetId: 't2' }],
    ]);
    await coordinator.advance([busy, idle], loads);
    await coordinator.advance([busy, idle], loads);
    expect(fleet.orders).toEqual([]);
    loads.set('t1', { ...IDLE, targetId: 't1' });
    await coordinator.advance([busy, idle], loads);
    expect(fleet.orders).toMatchObject([{ vm: 'm1', holder: 'b' }]);
  });
});
