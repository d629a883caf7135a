import { describe, expect, it, vi } from 'vitest';
import { handleJobRequest } from '../../src/taskHome/handleJobRequest.js';
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
    expect(home.getState('a', { organisation: 'water' })).toBeUndefined();
    expect(await home.cancel('a', { organisation: 'water' })).toBe(false);
    expect(home.getState('a', { organisation: 'council' })).toBe('running');
    expect(await home.cancel('a', { organisation: 'council' })).toBe(true);
  });

  // Failure: a job that a caller was told is accepted is another organisation's job.
  it('take no submission of another organisation under the same id', async () => {
    const home = await world.open();
    await submitOfCouncil(home);
    const other = { ...makeJob('a'), organisation: 'water' };
    await expect(home.submit(other)).rejects.toMatchObject({ kind: 'request-id-reused' });
    await home.submit({ ...makeJob('a'), organisation: 'council' });
    expect(home.getState('a', { organisation: 'council' })).toBe('running');
  });

  // Failure: once a job has ended, and after a takeover, its state is shown to anybody.
  it('stay theirs after their end and at the next home', async () => {
    const home = await world.open();
    await submitOfCouncil(home);
    world.targets.finish('a.0.0.0', 'done');
    await vi.waitFor(() =>
      expect(home.getState('a', { organisation: 'council' })).toBe('completed'),
    );
    world.kill(home);
    const next = await world.open();
    expect(next.getState('a', { organisation: 'council' })).toBe('completed');
    expect(next.getState('a', { organisation: 'water' })).toBeUndefined();
  });

  // Failure: anybody sees and ends a job of an organisation by way of a queue that needs no key.
  it('are hidden from calls without a key on another queue, also after their end', async () => {
    const home = await world.open();
    await submitOfCouncil(home);
    const { terms } = makeJob('a');
    const other = { ...terms, queue: 'open', address: 'open.example/' };
    const ask = (type: 'get-durable-job' | 'cancel-durable-job', at: TaskHome, queue = other) =>
      handleJobRequest(at, { type, pool: terms.pool, jobId: 'a', queue });
    expect(await ask('get-durable-job', home)).toEqual({ type: 'durable-job' });
    expect(await ask('cancel-durable-job', home)).toEqual({ type: 'durable-job' });
    const submitted = home.submit({ ...makeJob('a'), terms: other });
    await expect(submitted).rejects.toMatchObject({ kind: 'request-id-reused' });
    expect(home.getState('a', { organisation: 'council' })).toBe('running');
    world.targets.finish('a.0.0.0', 'done');
    await vi.waitFor(() => expect(home.getState('a')).toBe('completed'));
    expect(await ask('get-durable-job', home)).toEqual({ type: 'durable-job' });
    world.kill(home);
    expect(await ask('get-durable-job', await world.open())).toEqual({ type: 'durable-job' });
  });

  // Failure: an accepted job is gone for its caller once its queue no longer asks for keys.
  it('are found without a key on their own queue, under its name or its address', async () => {
    const home = await world.open();
    const { terms } = makeJob('a');
    const own = { ...terms, address: 'own.example/' };
    await home.submit({ ...makeJob('a'), terms: own, organisation: 'council' });
    const get = (queue: typeof own) =>
      handleJobRequest(home, { type: 'get-durable-job', pool: terms.pool, jobId: 'a', queue });
    const found = { type: 'durable-job', state: 'running' };
    await world.waitForRunning(['a.0.0.0']);
    expect(await get(own)).toEqual(found);
    expect(await get({ ...own, queue: 'renamed' })).toEqual(found);
    expect(await get({ ...own, address: 'elsewhere.example/' })).toEqual(found);
  });
});
