import { beforeEach, describe, expect, it, vi } from 'vitest';
import type { TaskHome } from '../../src/taskHome/index.js';
import { type HomeWorld, makeJob, TERMS, useHomeWorld } from './HomeWorld.js';

const TARGETS = ['t1', 't2'] as const;
/** Long enough for calls and pauses, short enough to lapse in a test. */
const LEASE_MS = 1_500;
const JOB_IDS = ['a', 'b', 'c'] as const;

describe('pending jobs', () => {
  let world: HomeWorld;
  let home: TaskHome;

  useHomeWorld((created) => {
    world = created;
    world.leaseMs = LEASE_MS;
  });

  const setRefusing = (refusesStarts: 'no-room' | 'unhealthy' | undefined): void =>
    TARGETS.forEach((targetId) => world.targets.setFaults(targetId, { refusesStarts }));

  const submitAll = (): Promise<unknown> =>
    Promise.all(JOB_IDS.map((jobId) => home.submit(makeJob(jobId))));

  beforeEach(async () => {
    home = await world.open();
  });

  // Guards against jobs that wait and are not shown as pending, as a target refuses their starts.
  it.each(['unhealthy', 'no-room'] as const)(
    'count until a target has begun one of their tasks, while starts are refused as %s',
    async (refusal) => {
      setRefusing(refusal);
      await submitAll();
      await vi.waitFor(() => expect(world.countEvents('startRefused')).toBeGreaterThan(2));
      expect(home.countPending(TERMS.queue)).toBe(3);
      expect(JOB_IDS.map((jobId) => home.getState(jobId))).toEqual(Array(3).fill('queued'));
      setRefusing(undefined);
      await vi.waitFor(() => expect(home.countPending(TERMS.queue)).toBe(0), 5_000);
      expect(JOB_IDS.map((jobId) => home.getState(jobId))).toEqual(Array(3).fill('running'));
    },
  );

  // Guards against a count that a change of homes makes wrong, whose jobs have been refused.
  it('count in the next home too', async () => {
    setRefusing('unhealthy');
    await submitAll();
    await vi.waitFor(() => expect(world.countEvents('startRefused')).toBeGreaterThan(0));
    world.kill(home);
    home = await world.open();
    expect(home.countPending(TERMS.queue)).toBe(3);
    setRefusing(undefined);
    await vi.waitFor(() => expect(home.countPending(TERMS.queue)).toBe(0), 5_000);
  });

  // Guards against jobs that count again: a start without an answer has begun them all the same.
  it('do not count where a start has lost its answer and a report shows the run', async () => {
    TARGETS.forEach((targetId) => world.targets.setFaults(targetId, { losesStartAnswers: true }));
    await submitAll();
    await vi.waitFor(() => expect(world.targets.listRunning()).toHaveLength(3));
    await vi.waitFor(() => expect(home.countPending(TERMS.queue)).toBe(0), 5_000);
  });

  // Guards against jobs that count again after their first run has lapsed, also in the next home.
  it('do not count again once they have begun', async () => {
    await submitAll();
    await vi.waitFor(() => expect(home.countPending(TERMS.queue)).toBe(0), 5_000);
    await vi.waitFor(() => expect(world.countEvents('taskPlaced')).toBe(3));
    TARGETS.forEach((targetId) => world.targets.setFaults(targetId, { isCutOff: true }));
    await vi.waitFor(() => expect(world.countEvents('targetGone')).toBeGreaterThan(0), 10_000);
    expect(home.countPending(TERMS.queue)).toBe(0);
    world.kill(home);
    home = await world.open();
    expect(home.countPending(TERMS.queue)).toBe(0);
  });
});
