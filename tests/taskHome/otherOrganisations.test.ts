import { describe, expect, it, vi } from 'vitest';
import type { TaskHome } from '../../src/taskHome/index.js';
import { type HomeWorld, makeJob, useHomeWorld } from './HomeWorld.js';

describe('the jobs of an organisation', () => {
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
  });

  async function submitOfCouncil(home: TaskHome): Promise<void> {
    await home.submit({ ...makeJob('a'), organisation: 'council' });
    await world.waitForRunning(['a.0.0.0']);
  }

  // Failure: an organisation learns of another one's job, or ends it, by guessing its id.
  it('are shown to the organisation alone, which alone can cancel them', async () => {
    const home = await world.open();
    await submitOfCouncil(home);
    expect(home.getState('a', 'water')).toBeUndefined();
    expect(await home.cancel('a', 'water')).toBe(false);
    expect(home.getState('a', 'council')).toBe('running');
    expect(await home.cancel('a', 'council')).toBe(true);
  });

  // Failure: a job that a caller was told is accepted is another organisation's job.
  it('take no submission of another organisation under the same id', async () => {
    const home = await world.open();
    await submitOfCouncil(home);
    const other = { ...makeJob('a'), organisation: 'water' };
    await expect(home.submit(other)).rejects.toMatchObject({ kind: 'request-id-reused' });
    await home.submit({ ...makeJob('a'), organisation: 'council' });
    expect(home.getState('a', 'council')).toBe('running');
  });

  // Failure: once a job has ended, and after a takeover, its state is shown to anybody.
  it('stay theirs after their end and at the next home', async () => {
    const home = await world.open();
    await submitOfCouncil(home);
    world.targets.finish('a.0.0.0', 'done');
    await vi.waitFor(() => expect(home.getState('a', 'council')).toBe('completed'));
    world.kill(home);
    const next = await world.open();
    expect(next.getState('a', 'council')).toBe('completed');
    expect(next.getState('a', 'water')).toBeUndefined();
  });
});
