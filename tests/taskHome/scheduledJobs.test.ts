import { beforeEach, expect, it, vi } from 'vitest';
import type { DurableJobSpec } from '../../src/jobs/index.js';
import { SystemClock } from '../../src/utils/index.js';
import { HomeWorld, makeJob, makeStep } from './HomeWorld.js';

const MINUTES_OF_A_YEAR = 525_600;
const TEN_MILLION = 10_000_000;
const HOUR_MS = 3_600_000;

/** Clock whose time of day is an hour ahead. */
class LaterClock extends SystemClock {
  override wallMs(): number {
    return super.wallMs() + HOUR_MS;
  }
}

let world: HomeWorld;

beforeEach(() => {
  world = new HomeWorld();
  return () => world.close();
});

function makeTimedJob(
  jobId: string,
  occurrenceCount: number,
  intervalMs = HOUR_MS,
): DurableJobSpec {
  const schedule = { occurrenceCount, firstDueAtMs: Date.now() - 1, intervalMs };
  return { ...makeJob(jobId), schedule };
}

// Guards against homes that end one after the other, out of memory, of one job's occurrences.
it.each([MINUTES_OF_A_YEAR, TEN_MILLION])(
  'runs what is due of a job with %i occurrences',
  async (occurrenceCount) => {
    const home = await world.open();
    await home.submit(makeTimedJob('timed', occurrenceCount));
    await world.waitForRunning(['timed.0.0.0']);
    expect(home.getState('timed')).toBe('running');
  },
);

it('goes on with the occurrences of a job after the home has changed', async () => {
  const home = await world.open();
  await home.submit(makeTimedJob('timed', TEN_MILLION));
  await world.waitForRunning(['timed.0.0.0']);
  world.targets.finish('timed.0.0.0', 'done');
  await vi.waitFor(() => expect(world.countEvents('endsStored')).toBe(1));
  world.kill(home);
  const next = await world.open(new LaterClock());
  await world.waitForRunning(['timed.1.0.0']);
  expect(next.getState('timed')).toBe('running');
});

// Guards against a home that ends out of memory, as many jobs each have bearable numbers of tasks.
it('refuses a job for which the home has no room, until others have ended', async () => {
  const home = await world.open();
  const steps = [makeStep({ taskCount: 20_000 })];
  const jobIds = Array.from({ length: 10 }, (_job, index) => `wide-${index}`);
  await Promise.all(jobIds.map((jobId) => home.submit(makeJob(jobId, steps))));
  const refused = home.submit(makeJob('small'));
  await expect(refused).rejects.toMatchObject({ kind: 'no-capacity' });
  await home.cancel('wide-0');
  await home.submit(makeJob('small'));
  expect(home.getState('small')).toBe('queued');
});
