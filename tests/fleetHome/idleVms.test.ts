import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { FleetHome } from '../../src/fleetHome/index.js';
import { disableMechanisms } from '../../src/systems/index.js';
import type { FleetVm } from '../../src/vms/index.js';
import { createFleetHome, makeDemand, ORDER_LEASE_MS, OrderWorld } from './OrderWorld.js';

const VMS = Array.from({ length: 8 }, (_none, index) => `vm-${index}`);
/** VMs that an idle pool keeps. */
const RESERVE_COUNT = 3;
/** Advance of the clock for each pass of the home, in milliseconds. */
const PASS_MS = 1_000;
/** Passes in which VMs are idle for long enough to be switched off. */
const PASS_COUNT = 12;

const toVm = (vm: string): FleetVm => ({ vm, pool: 'archive', state: 'up', targetId: `t-${vm}` });

describe('FleetHome with idle VMs', () => {
  let world: OrderWorld;
  let home: FleetHome;

  /** Lets the home pass over the fleet some times; the clock advances with each pass. */
  async function pass(count: number): Promise<void> {
    const syncs = world.drainedByCall;
    await Array.from({ length: count }).reduce<Promise<void>>(async (before) => {
      await before;
      const syncCount = syncs.length;
      await vi.waitFor(() => expect(syncs.length).toBeGreaterThan(syncCount), 3_000);
      world.clock.advance(PASS_MS);
    }, Promise.resolve());
  }

  /** Lists the VMs whose move to the standby pool the platform has carried out, one per order. */
  async function listOff(): Promise<readonly string[]> {
    const vms = await world.fleet.listVms();
    const off = new Set(vms.filter(({ pool }) => pool === 'spares').map(({ vm }) => vm));
    return world.fleet.orders.map(({ vm }) => vm).filter((vm) => off.has(vm));
  }

  beforeEach(() => {
    world = new OrderWorld(VMS.map(toVm));
    // VMs of the standby pool are off and have no target.
    const listVms = world.fleet.listVms.bind(world.fleet);
    vi.spyOn(world.fleet, 'listVms').mockImplementation(async () =>
      (await listVms()).map((vm) => (vm.pool === 'spares' ? { ...vm, targetId: undefined } : vm)),
    );
    world.demands.clear();
    world.demands.set(
      'archive',
      makeDemand(
        'archive',
        0,
        VMS.map((vm) => `t-${vm}`),
      ),
    );
    // The homes answer each pass, also for a pool that is missing from the demands.
    home = createFleetHome(world, { listPools: () => ['archive', 'pages'] });
  });

  afterEach(() => home.close());

  it('switches off all but the reserve, and reports why', async () => {
    home.start();
    await pass(PASS_COUNT);
    const off = await listOff();
    expect(off).toHaveLength(VMS.length - RESERVE_COUNT);
    const reasons = world.events.events
      .filter(({ event }) => event === 'vmLeaving')
      .map(({ fields }) => fields.reason);
    expect(new Set(reasons)).toEqual(new Set(['idle']));
  }, 30_000);

  it.each([
    ['the mechanism is off', { mechanisms: disableMechanisms(['idle-vms-off']) }],
    ['the configuration has no standby pool', { listStandbyPools: () => [] }],
  ])(
    'switches off none if %s',
    async (_name, changes) => {
      home = createFleetHome(world, { ...changes, listPools: () => ['archive'] });
      home.start();
      await pass(PASS_COUNT);
      expect(world.fleet.orders).toEqual([]);
    },
    30_000,
  );

  // Failure: the home of a pool does not answer for 3 s, and VMs go off that it may be using.
  it('switches off none of a pool whose home has just not answered', async () => {
    home.start();
    await pass(2);
    const demand = world.demands.get('archive')!;
    world.demands.delete('archive');
    await pass(3);
    world.demands.set('archive', demand);
    await pass(3);
    expect(await listOff()).toEqual([]);
  }, 30_000);

  // Failure: the fleet's home is lost between the decision and the order, or right after the order.
  // The next home would order the same VMs again, or leave them drained.
  it('orders no VM twice when the home is lost while VMs go off', async () => {
    const moveVm = vi.spyOn(world.fleet, 'moveVm');
    moveVm.mockImplementationOnce(() => new Promise(() => {}));
    home.start();
    await vi.waitFor(async () => {
      await pass(1);
      expect(moveVm).toHaveBeenCalled();
    }, 20_000);
    home.close();
    const next = createFleetHome(world, {
      holder: 'holder-3',
      term: 3,
      listPools: () => ['archive'],
    });
    next.start();
    world.clock.advance(ORDER_LEASE_MS);
    await pass(PASS_COUNT);
    next.close();
    const off = await listOff();
    expect(new Set(off).size).toBe(off.length);
    expect(off).toHaveLength(VMS.length - RESERVE_COUNT);
    expect(world.drainedByCall.at(-1)).toEqual([]);
  }, 60_000);

  // Failure: an order to switch a VM off gets no answer, and the VM is neither on nor off for good.
  it('repeats an order without an answer, and keeps tasks off its VM until then', async () => {
    const moveVm = vi.spyOn(world.fleet, 'moveVm');
    moveVm.mockRejectedValueOnce(new Error('no answer'));
    home.start();
    await pass(2 * PASS_COUNT);
    const [vm] = moveVm.mock.calls[0]!;
    expect(moveVm.mock.calls.filter(([name]) => name === vm)).toHaveLength(2);
    expect(await listOff()).toHaveLength(VMS.length - RESERVE_COUNT);
  }, 60_000);

  // Failure: a load peak begins while the VMs of its pool are on the way off, and waits for them.
  it('brings VMs back to a pool whose load peak begins while they go off', async () => {
    home.start();
    await vi.waitFor(async () => {
      await pass(1);
      expect(await listOff()).not.toEqual([]);
    }, 20_000);
    world.demands.set('pages', makeDemand('pages', VMS.length * 32_000));
    await pass(PASS_COUNT);
    const vms = await world.fleet.listVms();
    expect(vms.filter(({ pool }) => pool === 'spares')).toEqual([]);
    expect(vms.filter(({ pool }) => pool === 'pages').length).toBeGreaterThan(3);
  }, 60_000);
});
