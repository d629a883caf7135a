import { describe, expect, it } from 'vitest';
import { EMPTY_SYNC_REQUEST, type HomeWorld, useHomeWorld } from './HomeWorld.js';

describe('syncPool', () => {
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
  });

  // Guards against a move of a VM on which the next home has just started tasks.
  it('describes no load once another instance may be the home', async () => {
    const home = await world.open();
    await expect(home.syncPool(EMPTY_SYNC_REQUEST)).resolves.toMatchObject({ pool: 'pages' });
    const reply = home.syncPool(EMPTY_SYNC_REQUEST);
    world.isGroupLeaseHeld = false;
    await expect(reply).rejects.toMatchObject({ kind: 'home-unavailable' });
  });

  // Guards against the same after the store has refused the changes of a home that was replaced.
  it('describes no load once the home was replaced', async () => {
    const home = await world.open();
    const reply = home.syncPool(EMPTY_SYNC_REQUEST);
    home.close();
    await expect(reply).rejects.toMatchObject({ kind: 'home-unavailable' });
  });
});
