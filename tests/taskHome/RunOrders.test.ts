import { describe, expect, it, vi } from 'vitest';
import { createOrders } from './createOrders.js';
import { type HomeWorld, makeJob, makeStep, TERMS, useHomeWorld } from './HomeWorld.js';

const KEY = { taskName: 'a.0.0.0', run: 2, targetId: 't2' };

describe('the order for a task', () => {
  // Guards against a start whose placement is not stored, as its round has stored an earlier one.
  it.each([
    { ...KEY, run: 1 },
    { ...KEY, targetId: 't1' },
  ])('is not started for run $run on $targetId', (other) => {
    const { orders, port } = createOrders();
    orders.reserve(other);
    orders.reserve(KEY);
    orders.start(other);
    expect(port.start).not.toHaveBeenCalled();
    expect(orders.isUnsent('a.0.0.0')).toBe(true);
    orders.start(KEY);
    expect(port.start).toHaveBeenCalledOnce();
  });
});

describe('a refused start', () => {
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
  });

  // Guards against a target that gets more starts at once although it has refused one.
  it('is told with its reason', async () => {
    const { orders, onRefused } = createOrders({ type: 'refused', reason: 'no-room' });
    orders.reserve(KEY);
    orders.start(KEY);
    await vi.waitFor(() => expect(onRefused).toHaveBeenCalledOnce());
    expect(onRefused).toHaveBeenCalledWith(expect.objectContaining(KEY), 'no-room');
  });

  // Guards against a refusal after which its target is given the next task at once.
  it('lets its target be avoided for a moment', async () => {
    world.targets.setFaults('t1', { refusesStarts: 'no-room' });
    const home = await world.open();
    await home.submit(makeJob('a', [makeStep({ taskCount: 2, maxTasksPerTarget: 1 })]));
    await vi.waitFor(() => expect(world.countEvents('targetAvoided')).toBeGreaterThan(0));
    const avoided = world.events.events.find(({ event }) => event === 'targetAvoided');
    expect(avoided?.fields).toMatchObject({ targetId: 't1', reason: 'refusal' });
  });

  // Guards against a gang member that holds its target although another one can't be started.
  it('lets the other member of its gang be stopped', async () => {
    world.targets.setFaults('t1', { refusesStarts: 'malformed' });
    const home = await world.open();
    const gang = makeStep({ taskCount: 2, isGang: true, maxTasksPerTarget: 1 });
    // A job that has failed is stopped anyway.
    await home.submit({ ...makeJob('a', [gang]), terms: { ...TERMS, maxAttempts: 1_000 } });
    await vi.waitFor(() => expect(world.targets.stops).not.toEqual([]));
    expect(home.getState('a')).toBe('running');
    const mate = world.targets.begun.find(({ targetId }) => targetId === 't2');
    expect(world.targets.stops[0]).toBe(mate?.taskName);
  });
});
