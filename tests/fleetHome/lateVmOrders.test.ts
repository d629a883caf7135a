import { beforeEach, describe, expect, it, vi } from 'vitest';
import type { VmOrder } from '../../src/fleetHome/VmOrders.js';
import type { FleetVm } from '../../src/vms/index.js';
import { OrderWorld } from './OrderWorld.js';

/** Time after which a list shows what became of an order, in milliseconds. */
const LISTED_AFTER_MS = 2_000;
const MOVE: VmOrder = { type: 'move', vm: 'vm-1', toPool: 'pages' };
const MAINTENANCE: VmOrder = { type: 'maintain', vm: 'vm-1', wave: 1 };

describe('An order without an answer for a VM that crashes and is back', () => {
  let world: OrderWorld;

  beforeEach(() => {
    world = new OrderWorld();
    const lose = (): Promise<never> => Promise.reject(new Error('The order was not answered.'));
    vi.spyOn(world.fleet, 'moveVm').mockImplementation(lose);
    vi.spyOn(world.fleet, 'maintainVm').mockImplementation(lose);
  });

  // Guards against one VM too many that moves or is down, as the order takes effect after all.
  it.each([MOVE, MAINTENANCE])('may still be carried out ($type)', async (order) => {
    const orders = world.createOrders(1);
    expect(await orders.issue(order, 'life-1')).toBe('unanswered');
    world.clock.advance(LISTED_AFTER_MS);
    const back = { vm: 'vm-1', pool: 'spares', state: 'up', targetId: 'life-2' } as const;
    orders.endCompletedOrders([back], world.clock.monotonicMs());
    expect(orders.hasActiveOrder('vm-1')).toBe(true);
  });

  // Guards against a VM that stays unused for good, as its order never counts as over.
  it.each([MOVE, MAINTENANCE])('is over once a repeat was accepted ($type)', async (order) => {
    const orders = world.createOrders(1);
    await orders.issue(order, 'life-1');
    vi.restoreAllMocks();
    world.clock.advance(LISTED_AFTER_MS);
    expect(await orders.issue(order, 'life-2')).toBe('accepted');
    world.clock.advance(LISTED_AFTER_MS);
    const back = { vm: 'vm-1', pool: 'spares', state: 'up', targetId: 'life-3' } as const;
    orders.endCompletedOrders([back], world.clock.monotonicMs());
    expect(orders.hasActiveOrder('vm-1')).toBe(false);
  });
});

describe('An order without an answer that was carried out', () => {
  const lists: readonly (readonly [VmOrder, readonly FleetVm[]])[] = [
    [MOVE, [{ vm: 'vm-1', pool: 'pages', state: 'up', targetId: 'life-2' }]],
    [
      MAINTENANCE,
      [
        { vm: 'vm-1', pool: 'spares', state: 'in-maintenance' },
        { vm: 'vm-1', pool: 'spares', state: 'up', targetId: 'life-2' },
      ],
    ],
  ];

  // Guards against a VM that is held back although its pool has it: by the list, the order is over.
  it.each(lists)('is over once the VM is back ($type)', async (order, listed) => {
    const world = new OrderWorld();
    const lose = (): Promise<never> => Promise.reject(new Error('The order was not answered.'));
    vi.spyOn(world.fleet, 'moveVm').mockImplementation(lose);
    vi.spyOn(world.fleet, 'maintainVm').mockImplementation(lose);
    const orders = world.createOrders(1);
    await orders.issue(order, 'life-1');
    listed.forEach((vm) => {
      expect(orders.hasActiveOrder('vm-1')).toBe(true);
      world.clock.advance(LISTED_AFTER_MS);
      orders.endCompletedOrders([vm], world.clock.monotonicMs());
    });
    expect(orders.hasActiveOrder('vm-1')).toBe(false);
  });
});
