import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { FleetHome } from '../../src/fleetHome/index.js';
import { makeDemand, createFleetHome, OrderWorld } from './OrderWorld.js';

/** Time after which the list of VMs shows the effect of an order, in milliseconds. */
const LISTED_AFTER_MS = 1_500;
/** VMs of an idle pool, one more than it keeps. */
const IDLE_VMS = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];

describe('FleetHome', () => {
  let world: OrderWorld;
  let home: FleetHome;

  beforeEach(() => {
    world = new OrderWorld(
      IDLE_VMS.map((vm) => ({ vm, pool: 'archive', state: 'up', targetId: `t-${vm}` })),
    );
    const targetIds = IDLE_VMS.map((vm) => `t-${vm}`);
    world.demands.set('archive', makeDemand('archive', 0, targetIds));
    world.demands.set('pages', makeDemand('pages', 32_000));
    home = createFleetHome(world);
  });

  afterEach(() => home.close());

  // Guards against a VM that stays unused forever: its move got no answer and was not carried out.
  it('repeats a move without an answer that the list does not show', async () => {
    const moveVm = vi.spyOn(world.fleet, 'moveVm');
    moveVm.mockRejectedValueOnce(new Error('no answer'));
    home.start();
    await vi.waitFor(() => expect(moveVm).toHaveBeenCalledTimes(1));
    const [vm] = moveVm.mock.calls[0]!;
    expect(world.listOrders()).toEqual([]);
    world.clock.advance(LISTED_AFTER_MS);
    await vi.waitFor(() => expect(world.listOrders()).toEqual([`${vm} by holder-2`]));
  });

  // Guards against placing a task on a VM whose move may still be carried out and would end it.
  it('keeps tasks off a VM whose move has no answer', async () => {
    const moveVm = vi.spyOn(world.fleet, 'moveVm').mockRejectedValue(new Error('no answer'));
    home.start();
    await vi.waitFor(() => expect(moveVm).toHaveBeenCalledTimes(1));
    const [vm] = moveVm.mock.calls[0]!;
    const toldCount = world.drainedByCall.length;
    await vi.waitFor(() => expect(world.drainedByCall.length).toBeGreaterThan(toldCount + 4));
    expect(world.drainedByCall.slice(-2).flat()).toEqual([`t-${vm}`]);
  });
});
