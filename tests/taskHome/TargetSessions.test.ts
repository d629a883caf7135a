import { describe, expect, it, vi } from 'vitest';
import { type HomeWorld, makeEntry, makeJob, useHomeWorld } from './HomeWorld.js';

describe('TargetSessions', () => {
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
  });

  // Guards against a task that runs twice: its target announces its leave and is then cut off from
  // the home and from the store, where its entry expires, while the target works on. This happens
  // if a leaving target that is silent and not listed counts as gone at once, although it holds its
  // lease.
  it('keeps a task on a leaving target that is silent until its lease has lapsed', async () => {
    world.leaseMs = 600;
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    const { targetId } = world.targets.begun[0]!;
    world.entries.set(targetId, makeEntry(targetId, { isDraining: true }));
    await vi.waitFor(() => expect(world.countEvents('targetDraining')).toBe(1));
    const cutAtMs = performance.now();
    world.targets.setFaults(targetId, { isCutOff: true });
    world.entries.delete(targetId);
    await vi.waitFor(() => expect(world.targets.begun).toHaveLength(2), 5_000);
    expect(performance.now() - cutAtMs).toBeGreaterThan(world.leaseMs);
    expect(world.targets.begun[1]).toMatchObject({ taskName: 'a.0.0.0', run: 2 });
  });
});
