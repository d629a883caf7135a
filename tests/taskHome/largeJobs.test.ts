import { beforeEach, expect, it, vi } from 'vitest';
import { HomeWorld, makeJob, makeStep, MAX_RECORD_BYTES } from './HomeWorld.js';

/** Steps of a job whose specification exceeds a record. */
const TOO_MANY_STEPS = 2_000;
/** Tasks of a step whose progress exceeds a record, though its specification is short. */
const TOO_MANY_TASKS = 300_000;

let world: HomeWorld;

/** Lets the store reject each append with a record that is too large, as the platform's does. */
function rejectLargeRecords({ store }: HomeWorld): void {
  const { append } = store;
  vi.spyOn(store, 'append').mockImplementation(async (request) => {
    const isTooLarge = request.records.some(({ value }) => (value?.length ?? 0) > MAX_RECORD_BYTES);
    return isTooLarge ? { type: 'rejected', reason: 'status 413' } : append.call(store, request);
  });
}

beforeEach(() => {
  world = new HomeWorld();
  rejectLargeRecords(world);
  return () => world.close();
});

// Guards against a pool that stands still, as the record of one job is rejected without end.
it.each([
  ['steps', Array.from({ length: TOO_MANY_STEPS }, () => makeStep())],
  ['tasks', [makeStep({ taskCount: TOO_MANY_TASKS })]],
])(
  'goes on after a job with more %s than a record holds, which is refused',
  async (_name, steps) => {
    const home = await world.open();
    const large = home.submit(makeJob('large', steps));
    await expect(large).rejects.toMatchObject({ kind: 'job-too-large' });
    await home.submit(makeJob('small'));
    await world.waitForRunning(['small.0.0.0']);
    expect(home.getState('large')).toBeUndefined();
  },
);
