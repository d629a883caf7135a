import { describe, expect, it, vi } from 'vitest';
import { type HomeWorld, makeJob, useHomeWorld } from './HomeWorld.js';

describe('TaskHome', () => {
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
  });

  // Guards against "no such job" for a job whose repeated submission was accepted too early.
  it('accepts the repeat of a submission only once the job is stored', async () => {
    const home = await world.open();
    const append = world.store.append.bind(world.store);
    const heldBack: (() => void)[] = [];
    vi.spyOn(world.store, 'append').mockImplementation(async (request) => {
      await new Promise<void>((resolve) => {
        heldBack.push(resolve);
      });
      return append(request);
    });
    const submitted = [home.submit(makeJob('a'))];
    await vi.waitFor(() => expect(heldBack).toHaveLength(1));
    submitted.push(home.submit(makeJob('b')));
    const onAccepted = vi.fn();
    submitted.push(home.submit(makeJob('b')).then(onAccepted));
    heldBack[0]!();
    await vi.waitFor(() => expect(heldBack).toHaveLength(2));
    expect(onAccepted).not.toHaveBeenCalled();
    heldBack[1]!();
    await vi.waitFor(() => expect(onAccepted).toHaveBeenCalled());
    world.kill(home);
    await Promise.allSettled(submitted);
  });
});
