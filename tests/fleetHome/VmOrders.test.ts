import { describe, expect, it, vi } from 'vitest';
import type { FleetVm } from '../../src/vms/index.js';
import { openHome, ORDER_LEASE_MS, OrderWorld } from './OrderWorld.js';

const moveOf = (vm: string) => ({ type: 'move', vm, toPool: 'pages' }) as const;
const maintenanceOf = (vm: string) => ({ type: 'maintain', vm, wave: 1 }) as const;

describe('VmOrders', () => {
  // A morning rush found three VMs in its pool for five seconds after all daemons had lost power.
  // The new home of the fleet waited out the order lease for every VM, although the earlier one had
  // ordered none of them. Cause: nobody knew which VMs an earlier home might still order.
  it('orders a VM at once that no earlier holder has ordered lately', async () => {
    const world = new OrderWorld();
    expect(await world.open(2).give(moveOf('vm-1'), undefined)).toBe('accepted');
    expect(world.listOrders()).toEqual(['vm-1 by holder-2']);
  });

  // A VM was sent back and forth: a home that was being replaced moved it to one pool, and its
  // successor moved it on within a second, while the first one's next order was on its way.
  it('leaves a VM alone that an earlier holder has just ordered, until its lease is over', async () => {
    const world = new OrderWorld();
    await world.open(1).give(moveOf('vm-1'), undefined);
    world.clock.advance(500);
    const successor = world.open(2);
    expect(await successor.give(moveOf('vm-1'), undefined)).toBe('too-early');
    expect(await successor.give(moveOf('vm-2'), undefined)).toBe('accepted');
    world.clock.advance(ORDER_LEASE_MS + 400);
    expect(await successor.give(moveOf('vm-1'), undefined)).toBe('accepted');
    expect(world.listOrders()).toEqual([
      'vm-1 by holder-1',
      'vm-2 by holder-2',
      'vm-1 by holder-2',
    ]);
  });

  // The successor's clock was 40 minutes ahead, so that an order half a second old looked older
  // than the lease, and both holders ordered the same VM. Clocks may also be far behind.
  it.each([40, -40])(
    'takes an order for recent where the clock of its holder is %i minutes off',
    async (minutes) => {
      const world = new OrderWorld();
      await world.open(1).give(moveOf('vm-1'), undefined);
      world.clock.advance(500);
      world.clock.jump(minutes * 60_000);
      expect(await world.open(2).give(moveOf('vm-1'), undefined)).toBe('too-early');
    },
  );

  // Each change of homes cost 3.3 s without the VMs that had been ordered last, however long ago:
  // without a clock that two holders share, a stored order looks recent for ever.
  it.each([moveOf, maintenanceOf])(
    'orders a VM at once whose order lease an earlier holder has seen end (%s)',
    async (orderOf) => {
      const world = new OrderWorld();
      const first = world.open(1);
      await first.give(orderOf('vm-1'), undefined);
      world.clock.advance(ORDER_LEASE_MS);
      await first.settle();
      expect(world.open(2).listTooEarly()).toEqual(['vm-1']);
      world.clock.advance(400);
      await first.settle();
      expect(await world.open(2).give(orderOf('vm-1'), undefined)).toBe('accepted');
    },
  );

  it('sees the lease of an order end that an earlier holder gave', async () => {
    const world = new OrderWorld();
    await world.open(1).give(moveOf('vm-1'), undefined);
    const second = world.open(2);
    world.clock.advance(ORDER_LEASE_MS + 400);
    await second.settle();
    expect(world.open(3).listTooEarly()).toEqual([]);
  });

  // A VM was ordered by two holders: while the end of an earlier order's lease was on its way to
  // the store, the holder ordered the VM once more, and the new order passed for settled too.
  it('takes an order for recent that was given while an earlier one was being settled', async () => {
    const world = new OrderWorld();
    const first = world.open(1);
    await first.give(moveOf('vm-1'), undefined);
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
    await first.give(moveOf('vm-1'), undefined);
    answer();
    await settling;
    expect(world.open(2).listTooEarly()).toEqual(['vm-1']);
    world.clock.advance(ORDER_LEASE_MS + 400);
    await first.settle();
    expect(world.open(3).listTooEarly()).toEqual([]);
  });

  it('settles an order later where the store did not take it', async () => {
    const world = new OrderWorld();
    const first = world.open(1);
    await first.give(moveOf('vm-1'), undefined);
    world.clock.advance(ORDER_LEASE_MS + 400);
    const { store } = world;
    world.store = () => Promise.reject(new Error('away'));
    await first.settle();
    world.store = store;
    expect(world.open(2).listTooEarly()).toEqual(['vm-1']);
    await first.settle();
    expect(world.open(2).listTooEarly()).toEqual([]);
  });

  // Two holders ordered one VM within the order lease: the successor had counted the lease from the
  // record of the order, which was given 1 s later, and its clock was 2 s ahead besides.
  it('leaves a VM alone for a whole lease from its opening, however old the order', async () => {
    const world = new OrderWorld();
    await world.open(1).give(moveOf('vm-1'), undefined);
    world.clock.advance(ORDER_LEASE_MS + 2_000);
    const successor = world.open(2);
    world.clock.advance(ORDER_LEASE_MS);
    expect(successor.listTooEarly()).toEqual(['vm-1']);
    expect(await successor.give(moveOf('vm-1'), undefined)).toBe('too-early');
    world.clock.advance(400);
    expect(await successor.give(moveOf('vm-1'), undefined)).toBe('accepted');
  });

  // A home that had been frozen woke up and moved a VM that its successor was about to use. It did
  // not know yet that it was replaced; the store did.
  it('gives no order that could not be stored', async () => {
    const world = new OrderWorld();
    const replaced = world.open(1);
    world.store = () => Promise.reject(new Error('fenced'));
    expect(await replaced.give(moveOf('vm-1'), undefined)).toBe('unrecorded');
    expect(world.listOrders()).toEqual([]);
    expect(replaced.isAway('vm-1')).toBe(false);
  });

  // A VM with tasks was taken down: the order had waited four seconds for the store, and by then
  // the pool's home had given the VM new tasks, as nobody had told it again to keep them off.
  it('gives no order whose record was stored too late', async () => {
    const world = new OrderWorld();
    const orders = world.open(1);
    const { store } = world;
    world.store = async (records) => {
      world.clock.advance(4_000);
      await store(records);
    };
    expect(await orders.give(moveOf('vm-1'), undefined)).toBe('outdated');
    expect(world.listOrders()).toEqual([]);
    expect(orders.isAway('vm-1')).toBe(false);
  });

  // Guards against tasks that an order ends: they were kept off the VM for 3 s after it was empty.
  it('gives no order by loads that were asked for too long ago', async () => {
    const world = new OrderWorld();
    const orders = world.open(1);
    orders.noteLoads(world.clock.monotonicMs());
    world.clock.advance(2_500);
    expect(await orders.give(moveOf('vm-1'), undefined)).toBe('outdated');
    orders.noteLoads(world.clock.monotonicMs());
    expect(await orders.give(moveOf('vm-1'), undefined)).toBe('accepted');
  });

  // A wave took one VM more down than it may: the order for a VM got no answer, its repeat was not
  // sent as the store was slow, and another VM took the place of the first one. Then the first
  // order was carried out after all. Cause: a repeat that was not carried out took the order back.
  it.each(['outdated', 'overloaded'] as const)(
    'counts a VM as away whose order has no answer, also where a repeat is %s',
    async (outcome) => {
      const world = new OrderWorld();
      const orders = world.open(1);
      const maintainVm = vi.spyOn(world.fleet, 'maintainVm');
      maintainVm.mockRejectedValueOnce(new Error('no answer'));
      expect(await orders.give(maintenanceOf('vm-1'), undefined)).toBe('unanswered');
      const { store } = world;
      world.store = async (records) => {
        if (outcome === 'outdated') world.clock.advance(4_000);
        await store(records);
      };
      maintainVm.mockResolvedValueOnce({ type: 'refused', reason: 'overloaded' });
      expect(await orders.give(maintenanceOf('vm-1'), undefined)).toBe(outcome);
      expect(orders.isAway('vm-1')).toBe(true);
    },
  );

  it('takes an order back that is never carried out, also after one without answer', async () => {
    const world = new OrderWorld();
    const orders = world.open(1);
    const maintainVm = vi.spyOn(world.fleet, 'maintainVm');
    maintainVm.mockRejectedValueOnce(new Error('no answer'));
    expect(await orders.give(maintenanceOf('vm-1'), undefined)).toBe('unanswered');
    maintainVm.mockResolvedValueOnce({ type: 'refused', reason: 'not-in-wave' });
    expect(await orders.give(maintenanceOf('vm-1'), undefined)).toBe('not-in-wave');
    expect(orders.isAway('vm-1')).toBe(false);
  });

  // A wave went on with one place less than it may have: a new home had repeated the order for a
  // VM whose maintenance was done, the platform said so, and the VM counted as away for good, since
  // its lifetime never changed.
  it('counts a VM as back that an accepted order has not changed', async () => {
    const world = new OrderWorld();
    const orders = world.open(1);
    const vm: FleetVm = { vm: 'vm-1', pool: 'pages', state: 'up', targetId: 'lifetime-1' };
    const maintainVm = vi.spyOn(world.fleet, 'maintainVm');
    maintainVm.mockResolvedValueOnce({ type: 'accepted' });
    await orders.give(maintenanceOf('vm-1'), vm.targetId);
    world.clock.advance(1_000);
    orders.noteList([vm], world.clock.monotonicMs());
    expect(orders.isAway('vm-1')).toBe(true);
    world.clock.advance(1_000);
    orders.noteList([vm], world.clock.monotonicMs());
    expect(orders.isAway('vm-1')).toBe(false);
  });

  it('counts a VM as away that an order without an answer has not changed yet', async () => {
    const world = new OrderWorld();
    const orders = world.open(1);
    const vm: FleetVm = { vm: 'vm-1', pool: 'pages', state: 'up', targetId: 'lifetime-1' };
    const maintainVm = vi.spyOn(world.fleet, 'maintainVm');
    maintainVm.mockRejectedValueOnce(new Error('no answer'));
    await orders.give(maintenanceOf('vm-1'), vm.targetId);
    world.clock.advance(10_000);
    orders.noteList([vm], world.clock.monotonicMs());
    expect(orders.isAway('vm-1')).toBe(true);
  });
});

describe('FleetHome', () => {
  // See the first story of VmOrders; the clock stands still, so no lease is ever waited out.
  it('gives spares to a pool whose tasks wait as soon as it is opened', async () => {
    const world = new OrderWorld();
    const home = openHome(world);
    home.start();
    await vi.waitFor(() => expect(world.listOrders()).toHaveLength(2));
    home.close();
  });

  // After a power loss a pool got few VMs in three seconds. Those that an earlier home had just
  // ordered were chosen again and again, kept idle, and took the places of others.
  it('chooses no VM that it may not order yet', async () => {
    const world = new OrderWorld();
    await world.open(1).give({ type: 'maintain', vm: 'vm-1', wave: 1 }, undefined);
    const home = openHome(world);
    home.start();
    await vi.waitFor(() => expect(world.listOrders()).toContain('vm-2 by holder-2'));
    home.close();
    const chosen = world.events.events.filter(({ event }) => event === 'vmLeaving');
    expect(chosen.map(({ fields }) => fields.vm)).toEqual(['vm-2']);
  });
});
