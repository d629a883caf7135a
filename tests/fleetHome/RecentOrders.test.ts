import { describe, expect, it } from 'vitest';
import type { VmOrders } from '../../src/fleetHome/VmOrders.js';
import { SeededRng } from '../../src/utils/index.js';
import { ORDER_LEASE_MS, OrderWorld } from './OrderWorld.js';

/** Pause between two passes of a fleet home, in milliseconds. */
const PASS_MS = 200;
/** How long each short-lived holder lives, in milliseconds: less than the lease of an order. */
const SHORT_LIFE_MS = 2_000;
const SEEDS = Array.from({ length: 200 }, (_none, index) => index + 1);

const moveOf = (vm: string) => ({ type: 'move', vm, toPool: 'pages' }) as const;
const maintenanceOf = (vm: string) => ({ type: 'maintain', vm, wave: 1 }) as const;

/** Lets a holder settle orders as its passes do; returns how long its VMs were leased. */
async function runPasses(world: OrderWorld, orders: VmOrders, forMs: number): Promise<number> {
  if (forMs <= 0) return 0;
  const isLeased = orders.listLeasedVms().length > 0;
  await orders.settle();
  world.clock.advance(PASS_MS);
  return (isLeased ? PASS_MS : 0) + (await runPasses(world, orders, forMs - PASS_MS));
}

describe('RecentOrders', () => {
  // Guards against VMs that stand still for as long as homes of the fleet change within a lease.
  it.each([moveOf, maintenanceOf])(
    'waits for one lease in all while holders live shorter than it (%s)',
    async (orderOf) => {
      const world = new OrderWorld();
      await world.createOrders(1).issue(orderOf('vm-1'), undefined);
      const waitedMs = await [2, 3, 4, 5].reduce(
        async (before, term) =>
          (await before) + (await runPasses(world, world.createOrders(term), SHORT_LIFE_MS)),
        Promise.resolve(0),
      );
      expect(waitedMs).toBeLessThanOrEqual(ORDER_LEASE_MS + 300 + 2 * PASS_MS);
      expect(await world.createOrders(6).issue(orderOf('vm-1'), undefined)).toBe('accepted');
    },
  );

  // Guards against VMs that stand still after all daemons are killed soon after a change of homes.
  it('orders a VM at once that was ordered early in the life of the holder before the last', async () => {
    const world = new OrderWorld();
    const first = world.createOrders(1);
    await first.issue(moveOf('vm-1'), undefined);
    await runPasses(world, first, ORDER_LEASE_MS);
    await runPasses(world, world.createOrders(2), SHORT_LIFE_MS);
    expect(await world.createOrders(3).issue(moveOf('vm-1'), undefined)).toBe('accepted');
  });

  // Guards against two holders that order a VM in turns after time that no holder has measured.
  it('counts only the time for which holders have waited', async () => {
    const world = new OrderWorld();
    const first = world.createOrders(1);
    await first.issue(moveOf('vm-1'), undefined);
    await runPasses(world, first, SHORT_LIFE_MS);
    world.clock.advance(ORDER_LEASE_MS);
    const second = world.createOrders(2);
    world.clock.advance(ORDER_LEASE_MS - SHORT_LIFE_MS);
    expect(await second.issue(moveOf('vm-1'), undefined)).toBe('too-early');
  });

  // Guards against a lease that is counted from before an order whose call to the platform is slow.
  it('stores no age of an order that is still being sent', async () => {
    const world = new OrderWorld();
    const first = world.createOrders(1);
    const { moveVm } = world.fleet;
    let send = (): void => undefined;
    world.fleet.moveVm = async (...order) => {
      await new Promise<void>((resolve) => {
        send = resolve;
      });
      return moveVm.apply(world.fleet, order);
    };
    const issued = first.issue(moveOf('vm-1'), undefined);
    await runPasses(world, first, SHORT_LIFE_MS);
    send();
    await issued;
    expect(world.orderRecords).toEqual([{ vm: 'vm-1' }]);
    expect(world.createOrders(2).listLeasedVms()).toEqual(['vm-1']);
    world.clock.advance(ORDER_LEASE_MS);
    expect(world.createOrders(2).listLeasedVms()).toEqual(['vm-1']);
  });

  // Guards against writes without an end: an idle home of the fleet stores nothing.
  it('stores ages twice a second, and nothing once all orders are settled', async () => {
    const world = new OrderWorld();
    const orders = world.createOrders(1);
    await orders.issue(moveOf('vm-1'), undefined);
    await orders.issue(moveOf('vm-2'), undefined);
    const { store } = world;
    let callCount = 0;
    world.store = (records) => {
      callCount += 1;
      return store(records);
    };
    await runPasses(world, orders, 3 * ORDER_LEASE_MS);
    expect(callCount).toBeGreaterThan(1);
    expect(callCount).toBeLessThanOrEqual(1 + (ORDER_LEASE_MS + 300) / 500);
    expect(world.orderRecords).toEqual([]);
  });

  // Guards against two holders whose orders for one VM are closer than the lease, whatever happens.
  it.each(SEEDS)('keeps the orders of two holders a lease apart (seed %i)', async (seed) => {
    const world = new OrderWorld();
    const rng = new SeededRng(seed);
    const draw = (limitMs: number): number => Math.floor(rng.next() * limitMs);
    const sent: { readonly vm: string; readonly term: number; readonly atMs: number }[] = [];
    const { moveVm } = world.fleet;
    world.fleet.moveVm = async (vm, pool, issuer) => {
      sent.push({ vm, term: issuer.term, atMs: world.clock.monotonicMs() });
      world.clock.advance(rng.next() < 0.5 ? 0 : draw(900));
      return moveVm.call(world.fleet, vm, pool, issuer);
    };
    const live = async (term: number): Promise<void> => {
      world.clock.advance(rng.next() < 0.5 ? 0 : draw(1_000));
      const orders = world.createOrders(term);
      const passCount = draw(60);
      await Array.from({ length: passCount }).reduce<Promise<void>>(async (before) => {
        await before;
        await orders.settle();
        orders.setLoadsTime(world.clock.monotonicMs());
        if (rng.next() < 0.9) await orders.issue(moveOf(`vm-${1 + draw(2)}`), undefined);
        world.clock.advance(draw(150));
      }, Promise.resolve());
    };
    await Array.from({ length: 20 }, (_none, index) => index + 1).reduce(
      (before, term) => before.then(() => live(term)),
      Promise.resolve(),
    );
    const tooClose = sent.filter(({ vm, term, atMs }, index) =>
      sent
        .slice(0, index)
        .some(
          (other) => other.vm === vm && other.term !== term && atMs - other.atMs < ORDER_LEASE_MS,
        ),
    );
    expect(sent.length).toBeGreaterThan(0);
    expect(tooClose).toEqual([]);
  });
});
