import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it, vi } from 'vitest';
import type { StartAnswer } from '../../src/targets/index.js';
import { type HomeWorld, makeJob, makeStep, useHomeWorld } from './HomeWorld.js';

/** Time in which several reports arrive, in milliseconds. */
const SEVERAL_REPORTS_MS = 150;
const NAMES = ['a.0.0.0', 'a.0.0.1'];

describe('A refusal of a start of a gang member', () => {
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
  });

  // Guards against a gang that loses its members, as a refusal comes after the run was reported.
  it('stops no other member once the run is known to be going on', async () => {
    const start = world.targets.start.bind(world.targets);
    const held: { carryOut?: () => Promise<StartAnswer>; answer?: (answer: StartAnswer) => void } =
      {};
    const spy = vi.spyOn(world.targets, 'start');
    spy.mockImplementation((target, order) => {
      if (order.taskName !== NAMES[0]) return start(target, order);
      if (held.carryOut !== undefined) {
        return new Promise((resolve) => {
          held.answer = resolve;
        });
      }
      held.carryOut = () => start(target, order);
      return Promise.reject(new Error('The start was not answered.'));
    });
    const home = await world.open();
    await home.submit(makeJob('a', [makeStep({ taskCount: 2, isGang: true })]));
    await vi.waitFor(() => expect(held.answer).toBeDefined());
    await held.carryOut!();
    await world.waitForRunning(NAMES);
    await sleep(SEVERAL_REPORTS_MS);
    held.answer!({ type: 'refused', reason: 'unhealthy' });
    await sleep(SEVERAL_REPORTS_MS);
    expect(world.targets.stops).toEqual([]);
    expect(world.targets.listRunning().toSorted()).toEqual(NAMES);
  });
});
