import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { FleetHome } from '../../src/fleetHome/index.js';
import { encodeCbor } from '../../src/peers/frameCodec.js';
import type { FleetVm } from '../../src/vms/index.js';
import { makeDemand, createFleetHome, OrderWorld } from './OrderWorld.js';

/** Time after which the list of VMs shows the effect of an order, in milliseconds. */
const LISTED_AFTER_MS = 1_500;
/** VMs of an idle pool, one more than it keeps. */
const IDLE_VMS = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];
/** A wave that has just been ordered. */
const WAVE = { wave: 1, vms: ['vm-1'], withinMs: 60_000, maxDownCount: 1 };

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

  // Guards against a pool that waits without end for a VM that was lost while it moved there.
  it.each([
    [
      'that the list shows as down',
      (vm: FleetVm): readonly FleetVm[] => [{ ...vm, state: 'down' }],
    ],
    ['that the list shows no more', (): readonly FleetVm[] => []],
  ])('moves another VM in place of one %s', async (_name, lose) => {
    const { fleet } = world;
    const vms = await fleet.listVms();
    const moveVm = vi.spyOn(fleet, 'moveVm').mockResolvedValue({ type: 'accepted' });
    const listMoved = (): ReadonlySet<string> => new Set(moveVm.mock.calls.map(([vm]) => vm));
    vi.spyOn(fleet, 'listVms').mockImplementation(async () =>
      vms.flatMap((vm) => (listMoved().has(vm.vm) ? lose({ ...vm, targetId: undefined }) : [vm])),
    );
    home.start();
    await vi.waitFor(() => expect(listMoved().size).toBe(1));
    world.clock.advance(LISTED_AFTER_MS);
    await vi.waitFor(() => expect(listMoved().size).toBe(2), 3_000);
  });

  // Guards against a fleet that nobody manages while the status of a wave can't be stored.
  it('moves VMs while the store does not answer for the status of a wave', async () => {
    home.close();
    const publishStatus = vi.fn(() => new Promise<void>(() => {}));
    home = createFleetHome(world, { listWaveOrders: () => [WAVE], publishStatus });
    const moveVm = vi.spyOn(world.fleet, 'moveVm');
    home.start();
    await vi.waitFor(() => expect(moveVm).toHaveBeenCalled(), 3_000);
    expect(publishStatus).toHaveBeenCalledOnce();
  });

  // Guards against a wave whose status operators never see, as one publication has failed.
  it('publishes the status of a wave again that was not stored', async () => {
    home.close();
    const publishStatus = vi.fn(async () => undefined);
    publishStatus.mockRejectedValueOnce(new Error('not stored'));
    home = createFleetHome(world, { listWaveOrders: () => [WAVE], publishStatus });
    home.start();
    await vi.waitFor(() => expect(publishStatus).toHaveBeenCalledTimes(2), 3_000);
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

/** How long a home's reply is awaited, in milliseconds. */
const REPLY_WAIT_MS = 1_200;

describe('FleetHome of a large fleet', () => {
  const POOLS = Array.from({ length: 65 }, (_none, index) => `pool-${index}`);
  const VMS = Array.from({ length: 2_000 }, (_none, index) => {
    const pool = POOLS[index % POOLS.length]!;
    const targetId = index.toString(16).padStart(16, '0');
    const rack = `rack-${Math.floor(index / 20)}`;
    return { vm: `vm-${index}`, pool, state: 'up', targetId, rack } as const;
  });

  // Guards against a fleet that nobody manages for 10 s after a large loss: what one pass tells the
  // homes of all pools takes longer to send than their replies are awaited.
  it.each([
    ['one of seven data centres', 286, 2],
    ['one of two regions', 1_000, 7],
  ])('tells all homes of the loss of %s (%i VMs) in time on %i Mbit/s', async (...row) => {
    const [, lostCount, linkMbps] = row;
    const lost = VMS.slice(0, lostCount).map(({ targetId }) => targetId);
    const world = new OrderWorld(VMS);
    world.demands.clear();
    POOLS.forEach((pool) => world.demands.set(pool, makeDemand(pool, 0)));
    const home = createFleetHome(world);
    home.start();
    await vi.waitFor(() => expect(world.endedByCall.length).toBeGreaterThan(POOLS.length));
    lost.forEach((targetId) => world.fleet.crash(targetId));
    const listLosses = () =>
      world.endedByCall.filter(({ ended }) => ended.crashedTargets.length > 0);
    await vi.waitFor(() => expect(listLosses().length).toBeGreaterThanOrEqual(POOLS.length));
    home.close();
    const pass = listLosses().slice(0, POOLS.length);
    const told = pass.flatMap(({ ended }) => ended.crashedTargets);
    expect(new Set(told)).toEqual(new Set(lost));
    const sizes = pass.map(({ pool, ended }) => {
      const request = { type: 'sync-pool', pool, drainedTargets: [], drainedForMs: 0, ...ended };
      return encodeCbor(request).length;
    });
    const passBits = 8 * sizes.reduce((sum, size) => sum + size, 0);
    expect(passBits / (linkMbps * 1_000)).toBeLessThan(REPLY_WAIT_MS);
  });
});
