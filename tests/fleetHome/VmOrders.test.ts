import { describe, expect, it, vi } from 'vitest';
import type { FleetVm } from '../../src/vms/index.js';
import { createFleetHome, ORDER_LEASE_MS, OrderWorld } from './OrderWorld.js';

const moveOf = (vm: string) => ({ type: 'move', vm, toPool: 'pages' }) as const;
const maintenanceOf = (vm: string) => ({ type: 'maintain', vm, wave: 1 }) as const;

describe('VmOrders', () => {
  // Guards against a pool that keeps three VMs for five seconds of a load peak after all daemons
  // have lost power: without stored orders, the new home of the fleet cannot know which VMs an
  // earlier home might still order, and waits for the order lease of every VM.
  it('orders a VM at once that no earlier holder has ordered recently', async () => {
    const world = new OrderWorld();
    expect(await world.createOrders(2).issue(moveOf('vm-1'), undefined)).toBe('accepted');
    expect(world.listOrders()).toEqual(['vm-1 by holder-2']);
  });

  // Guards against a VM that is moved back and forth: a home that is being replaced moves it to one
  // pool, and its successor moves it on within a second, while the next order of the first home is
  // in flight.
  it('leaves a VM alone that an earlier holder has just ordered, until its lease is over', async () => {
    const world = new OrderWorld();
    await world.createOrders(1).issue(moveOf('vm-1'), undefined);
    world.clock.advance(500);
    const successor = world.createOrders(2);
    expect(await successor.issue(moveOf('vm-1'), undefined)).toBe('too-early');
    expect(await successor.issue(moveOf('vm-2'), undefined)).toBe('accepted');
    world.clock.advance(ORDER_LEASE_MS + 400);
    expect(await successor.issue(moveOf('vm-1'), undefined)).toBe('accepted');
    expect(world.listOrders()).toEqual([
      'vm-1 by holder-1',
      'vm-2 by holder-2',
      'vm-1 by holder-2',
    ]);
  });

  // Guards against two holders that order the same VM: with a clock that is 40 minutes ahead, the
  // successor would consider an order half a second old to be older than the lease. Clocks may also
  // be far behind.
  it.each([40, -40])(
    'treats an order as recent if the clock of its holder is %i minutes off',
    async (minutes) => {
      const world = new OrderWorld();
      await world.createOrders(1).issue(moveOf('vm-1'), undefined);
      world.clock.advance(500);
      world.clock.jump(minutes * 60_000);
      expect(await world.createOrders(2).issue(moveOf('vm-1'), undefined)).toBe('too-early');
    },
  );

  // Guards against a wait of 3.3 s at each change of homes for all VMs that were ever ordered: two
  // holders share no clock, so a stored order would look recent forever.
  it.each([moveOf, maintenanceOf])(
    'orders a VM at once if an earlier holder has stored the end of its order lease (%s)',
    async (orderOf) => {
      const world = new OrderWorld();
      const first = world.createOrders(1);
      await first.issue(orderOf('vm-1'), undefined);
      world.clock.advance(ORDER_LEASE_MS);
      await first.settle();
      expect(world.createOrders(2).listLeasedVms()).toEqual(['vm-1']);
      world.clock.advance(400);
      await first.settle();
      expect(await world.createOrders(2).issue(orderOf('vm-1'), undefined)).toBe('accepted');
    },
  );

  it('stores the end of the lease of an order that an earlier holder issued', async () => {
    const world = new OrderWorld();
    await world.createOrders(1).issue(moveOf('vm-1'), undefined);
    const second = world.createOrders(2);
    world.clock.advance(ORDER_LEASE_MS + 400);
    await second.settle();
    expect(world.createOrders(3).listLeasedVms()).toEqual([]);
  });

  // Guards against a VM that two holders order: the holder orders the VM again while the end of the
  // earlier order's lease is being stored, and the new order is considered settled too.
  it('treats an order as recent that was issued while an earlier one was being settled', async () => {
    const world = new OrderWorld();
    const first = world.createOrders(1);
    await first.issue(moveOf('vm-1'), undefined);
    world.clock.advance(ORDER_LEASE_MS + 400);
    const { store } = world;
    let answer = (): void => undefined;
    world.store = async (records) => {
      await store(records);
      await new Promise<void>((resolve) => {
        answer = resolve;
      });
    };
    const settling = first.settle();
    world.store = store;
    await first.issue(moveOf('vm-1'), undefined);
    answer();
    await settling;
    expect(world.createOrders(2).listLeasedVms()).toEqual(['vm-1']);
    world.clock.advance(ORDER_LEASE_MS + 400);
    await first.settle();
    expect(world.createOrders(3).listLeasedVms()).toEqual([]);
  });

  it('settles an order later where the store did not take it', async () => {
    const world = new OrderWorld();
    const first = world.createOrders(1);
    await first.issue(moveOf('vm-1'), undefined);
    world.clock.advance(ORDER_LEASE_MS + 400);
    const { store } = world;
    world.store = () => Promise.reject(new Error('away'));
    await first.settle();
    world.store = store;
    expect(world.createOrders(2).listLeasedVms()).toEqual(['vm-1']);
    await first.settle();
    expect(world.createOrders(2).listLeasedVms()).toEqual([]);
  });

  // Guards against two holders that order one VM within the order lease: the successor counted the
  // lease from the record of the order, which was issued 1 s later, and its clock was also 2 s
  // ahead.
  it('orders no VM of a stored order for a whole lease after its start, however old the order', async () => {
    const world = new OrderWorld();
    await world.createOrders(1).issue(moveOf('vm-1'), undefined);
    world.clock.advance(ORDER_LEASE_MS + 2_000);
    const successor = world.createOrders(2);
    world.clock.advance(ORDER_LEASE_MS);
    expect(successor.listLeasedVms()).toEqual(['vm-1']);
    expect(await successor.issue(moveOf('vm-1'), undefined)).toBe('too-early');
    world.clock.advance(400);
    expect(await successor.issue(moveOf('vm-1'), undefined)).toBe('accepted');
  });

  // Guards against a home that resumes after a pause of its process and moves a VM that its
  // successor is about to use. The home does not know yet that it was replaced, but the store does.
  it('gives no order that could not be stored', async () => {
    const world = new OrderWorld();
    const replaced = world.createOrders(1);
    world.store = () => Promise.reject(new Error('fenced'));
    expect(await replaced.issue(moveOf('vm-1'), undefined)).toBe('unrecorded');
    expect(world.listOrders()).toEqual([]);
    expect(replaced.hasActiveOrder('vm-1')).toBe(false);
  });

  // Guards against a VM that is taken down with tasks: while the order waits four seconds for the
  // store, the pool's home is not told again to keep tasks off the VM and places new ones on it.
  it('gives no order whose record was stored too late', async () => {
    const world = new OrderWorld();
    const orders = world.createOrders(1);
    const { store } = world;
    world.store = async (records) => {
      world.clock.advance(4_000);
      await store(records);
    };
    expect(await orders.issue(moveOf('vm-1'), undefined)).toBe('outdated');
    expect(world.listOrders()).toEqual([]);
    expect(orders.hasActiveOrder('vm-1')).toBe(false);
  });

  // Guards against an order that ends tasks: they are kept off the VM only for 3 s after it was
  // empty.
  it('issues no order based on loads that were requested too long ago', async () => {
    const world = new OrderWorld();
    const orders = world.createOrders(1);
    orders.setLoadsTime(world.clock.monotonicMs());
    world.clock.advance(2_500);
    expect(await orders.issue(moveOf('vm-1'), undefined)).toBe('outdated');
    orders.setLoadsTime(world.clock.monotonicMs());
    expect(await orders.issue(moveOf('vm-1'), undefined)).toBe('accepted');
  });

  // Guards against a wave that takes one VM too many down: the order for a VM gets no answer, and
  // its repeat is not sent because the store is slow. If that ends the active order, another VM is
  // ordered in its place, and then the first order is carried out after all.
  it.each(['outdated', 'overloaded'] as const)(
    'keeps an order without an answer active if a repeat is %s',
    async (outcome) => {
      const world = new OrderWorld();
      const orders = world.createOrders(1);
      const maintainVm = vi.spyOn(world.fleet, 'maintainVm');
      maintainVm.mockRejectedValueOnce(new Error('no answer'));
      expect(await orders.issue(maintenanceOf('vm-1'), undefined)).toBe('unanswered');
      const { store } = world;
      world.store = async (records) => {
        if (outcome === 'outdated') world.clock.advance(4_000);
        await store(records);
      };
      maintainVm.mockResolvedValueOnce({ type: 'refused', reason: 'overloaded' });
      expect(await orders.issue(maintenanceOf('vm-1'), undefined)).toBe(outcome);
      expect(orders.hasActiveOrder('vm-1')).toBe(true);
    },
  );

  it('ends an order that will never be carried out, also after one without an answer', async () => {
    const world = new OrderWorld();
    const orders = world.createOrders(1);
    const maintainVm = vi.spyOn(world.fleet, 'maintainVm');
    maintainVm.mockRejectedValueOnce(new Error('no answer'));
    expect(await orders.issue(maintenanceOf('vm-1'), undefined)).toBe('unanswered');
    maintainVm.mockResolvedValueOnce({ type: 'refused', reason: 'not-in-wave' });
    expect(await orders.issue(maintenanceOf('vm-1'), undefined)).toBe('not-in-wave');
    expect(orders.hasActiveOrder('vm-1')).toBe(false);
  });

  // Guards against a wave that has one VM too few down from then on: a new home repeats the order
  // for a VM whose maintenance is done, the platform accepts it, and the order stays active forever
  // because the VM's lifetime never changes.
  it('ends an accepted order that has not changed its VM', async () => {
    const world = new OrderWorld();
    const orders = world.createOrders(1);
    const vm: FleetVm = { vm: 'vm-1', pool: 'pages', state: 'up', targetId: 'lifetime-1' };
    const maintainVm = vi.spyOn(world.fleet, 'maintainVm');
    maintainVm.mockResolvedValueOnce({ type: 'accepted' });
    await orders.issue(maintenanceOf('vm-1'), vm.targetId);
    world.clock.advance(1_000);
    orders.endCompletedOrders([vm], world.clock.monotonicMs());
    expect(orders.hasActiveOrder('vm-1')).toBe(true);
    world.clock.advance(1_000);
    orders.endCompletedOrders([vm], world.clock.monotonicMs());
    expect(orders.hasActiveOrder('vm-1')).toBe(false);
  });

  it('keeps an order without an answer active that has not changed its VM yet', async () => {
    const world = new OrderWorld();
    const orders = world.createOrders(1);
    const vm: FleetVm = { vm: 'vm-1', pool: 'pages', state: 'up', targetId: 'lifetime-1' };
    const maintainVm = vi.spyOn(world.fleet, 'maintainVm');
    maintainVm.mockRejectedValueOnce(new Error('no answer'));
    await orders.issue(maintenanceOf('vm-1'), vm.targetId);
    world.clock.advance(10_000);
    orders.endCompletedOrders([vm], world.clock.monotonicMs());
    expect(orders.hasActiveOrder('vm-1')).toBe(true);
  });
});

describe('FleetHome', () => {
  // Guards against the failure of the first test of VmOrders. The clock stands still, so no lease
  // ever ends.
  it('moves standby VMs to a pool with waiting tasks as soon as it is opened', async () => {
    const world = new OrderWorld();
    const home = createFleetHome(world);
    home.start();
    await vi.waitFor(() => expect(world.listOrders()).toHaveLength(2));
    home.close();
  });

  // Guards against a pool that gets few VMs in three seconds after a power loss: VMs that an
  // earlier home has just ordered are chosen repeatedly, kept idle, and take the places of others.
  it('chooses no VM that it may not order yet', async () => {
    const world = new OrderWorld();
    await world.createOrders(1).issue({ type: 'maintain', vm: 'vm-1', wave: 1 }, undefined);
    const home = createFleetHome(world);
    home.start();
    await vi.waitFor(() => expect(world.listOrders()).toContain('vm-2 by holder-2'));
    home.close();
    const chosen = world.events.events.filter(({ event }) => event === 'vmLeaving');
    expect(chosen.map(({ fields }) => fields.vm)).toEqual(['vm-2']);
  });
});
