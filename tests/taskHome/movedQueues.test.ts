import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { QueueTerms } from '../../src/jobs/index.js';
import { type HomeWorld, makeJob, TERMS, useHomeWorld } from './HomeWorld.js';
import { MovedQueueWorld } from './MovedQueueWorld.js';

const SEED = 1;
const OUTCOME_UNKNOWN = { kind: 'outcome-unknown' };

describe('a queue that is moved', () => {
  let world: MovedQueueWorld;

  beforeEach(async () => {
    world = new MovedQueueWorld(SEED);
    await world.start();
    // Two instances know that the queue has this pool, and neither will be that of its next pool.
    await world.replaceHome('pages', 3);
    await world.submit('first', 0);
    await world.replaceHome('pages', 0);
    await world.submit('second', 0);
  });

  afterEach(() => world.close());

  // Guards against a second run by the earlier pool, asked by an entry that has not heard.
  it('is closed where it was to entries that are behind, also at the next home', async () => {
    world.move('archive');
    await world.submit('a', 0);
    await expect(world.submit('a', 1)).rejects.toMatchObject(OUTCOME_UNKNOWN);
    await world.replaceHome('pages', 3);
    await expect(world.submit('a', 1)).rejects.toMatchObject(OUTCOME_UNKNOWN);
    expect(await world.listStoredIn('a')).toEqual(['archive']);
  });

  // Guards against a second run by a pool that knew the queue before and takes it for its own.
  it('asks the pool that it had meanwhile once it is back', async () => {
    world.move('archive');
    await world.submit('a', 0);
    world.move('pages');
    await world.submit('a', 0);
    await world.submit('b', 0);
    expect(await world.listStoredIn('a')).toEqual(['archive']);
    expect(await world.listStoredIn('b')).toEqual(['pages']);
    expect(await world.getState('a')).toBe('queued');
    expect(await world.cancel('a')).toBe(true);
    expect(await world.getState('a')).toBe('cancelled');
  });

  // Guards against a job that an entry behind the others hands in first where the queue was.
  it('takes a new job of an older version as long as no later pool has asked', async () => {
    world.move('archive');
    await world.submit('a', 1);
    await world.submit('a', 0);
    expect(await world.listStoredIn('a')).toEqual(['pages']);
  });

  // Guards against "no such job" from a home that can't reach the only pool that knows.
  it('denies no job while an earlier pool does not answer', async () => {
    world.move('archive');
    world.removeHome('pages');
    await expect(world.getState('first')).rejects.toMatchObject({ kind: 'home-unavailable' });
    await expect(world.submit('first', 0)).rejects.toMatchObject({ kind: 'home-unavailable' });
  }, 15_000);
});

// Guards against a second run by a pool between, which was closed to the entry's version alone.
it('closes other pools by the version of the pool that accepts a job, not by that of its entry', async () => {
  const world = new MovedQueueWorld(SEED);
  await world.start();
  world.move('archive');
  expect(await world.getState('a')).toBeUndefined();
  world.move('pages');
  expect(await world.getState('a')).toBeUndefined();
  await world.submit('a', 2);
  await expect(world.submit('a', 1)).rejects.toMatchObject(OUTCOME_UNKNOWN);
  expect(await world.listStoredIn('a')).toEqual(['pages']);
  world.close();
});

describe('a home whose queue is moved while it accepts a job', () => {
  const EARLIER: QueueTerms = { ...TERMS, address: 'wiki.example/save/', configurationVersion: 1 };
  const LATER: QueueTerms = { ...EARLIER, pool: 'archive', configurationVersion: 2 };
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
  });

  // Guards against a job that is stored after a later pool has been told that it never will be.
  it('does not store it once it has denied it', async () => {
    const home = await world.open();
    let release = (): void => undefined;
    vi.spyOn(world.queuePools, 'register').mockImplementation(
      () =>
        new Promise((resolve) => {
          release = resolve;
        }),
    );
    const submitted = home.submit({ ...makeJob('a'), terms: EARLIER });
    expect(await home.find({ jobId: 'a', queue: LATER })).toBe(false);
    release();
    await expect(submitted).rejects.toMatchObject(OUTCOME_UNKNOWN);
    expect(home.getState('a')).toBeUndefined();
  });

  // Guards against a job that another pool has accepted since its entry has searched for it.
  it('wants a search anew that was made before its latest registration', async () => {
    const home = await world.open();
    const job = { ...makeJob('a'), terms: { ...EARLIER, configurationVersion: 3 } };
    await world.queuePools.register(LATER);
    const needed = { pools: ['archive'], configurationVersion: 3 };
    expect(await home.submit(job)).toEqual(needed);
    expect(await home.submit(job, { ...needed, configurationVersion: 2 })).toEqual(needed);
    expect(await home.submit(job, { ...needed, pools: [] })).toEqual(needed);
    expect(await home.submit(job, needed)).toBeUndefined();
    expect(home.getState('a')).toBeDefined();
  });

  // Guards against a denial of a job whose append is on its way.
  it('tells a later pool of a job that is being stored', async () => {
    const home = await world.open();
    const submitted = home.submit({ ...makeJob('a'), terms: EARLIER });
    await vi.waitFor(() => expect(home.getState('a')).toBeDefined(), { interval: 1 });
    expect(await home.find({ jobId: 'a', queue: LATER })).toBe(true);
    await submitted;
  });

  // Guards against two denials of which the second is sent before the first is stored.
  it('stores that the queue is closed before it denies a job', async () => {
    const home = await world.open();
    world.store.faults.rejects = true;
    const answers: boolean[] = [];
    const denials = ['a', 'b'].map(async (jobId) => {
      answers.push(await home.find({ jobId, queue: LATER }));
    });
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    expect(answers).toEqual([]);
    world.store.faults.rejects = false;
    await Promise.all(denials);
    expect(answers).toEqual([false, false]);
  });

  // Guards against "no such job" or a second job for an id that another organisation has.
  it('refuses an id that is taken by a job of another organisation', async () => {
    const home = await world.open();
    await home.submit({ ...makeJob('a'), terms: EARLIER, organisation: 'council' });
    const sought = home.find({ jobId: 'a', queue: LATER, organisation: 'agency' });
    await expect(sought).rejects.toMatchObject({ kind: 'request-id-reused' });
  });
});
