import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it, vi } from 'vitest';
import { decodeJobRecord } from '../../src/jobs/index.js';
import { type HomeWorld, makeEntry, makeJob, makeStep, useHomeWorld } from './HomeWorld.js';

const LEASE_MS = 1_200;
const LASTING_STEP = makeStep({ taskCount: 2, isLongRunning: true });
const TASK_NAMES = ['a.0.0.0', 'a.0.0.1'];

describe('A home that has not read its jobs yet', () => {
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
    world.leaseMs = LEASE_MS;
  });

  /** Runs tasks under a home that is then killed. */
  async function runUnderEarlierHome(): Promise<void> {
    const home = await world.open();
    await home.submit(makeJob('a', [LASTING_STEP]));
    await world.waitForRunning(TASK_NAMES);
    world.kill(home);
  }

  // Guards against tasks that are killed at a takeover while the new home is reading its jobs.
  it('keeps the leases of its targets, and stops none of their tasks', async () => {
    await runUnderEarlierHome();
    const { home, opening } = await world.claim();
    await home.leases.whenLeasesFresh(LEASE_MS);
    await sleep(2 * LEASE_MS);
    expect(world.targets.listRunning().toSorted()).toEqual(TASK_NAMES);
    home.load(await opening.read(home.claimed));
    home.tick();
    await sleep(LEASE_MS);
    expect(world.targets.listRunning().toSorted()).toEqual(TASK_NAMES);
    expect(world.targets.stops).toEqual([]);
    expect(world.targets.begun).toHaveLength(TASK_NAMES.length);
  });

  // Guards against "no such job" for an accepted job that the home has not read yet.
  it('answers nobody', async () => {
    await runUnderEarlierHome();
    const { home, opening } = await world.claim();
    expect(() => home.getState('a')).toThrow(/reading its jobs/);
    expect(() => home.countPending('saves')).toThrow(/reading its jobs/);
    await expect(home.cancel('a')).rejects.toThrow(/reading its jobs/);
    await expect(home.submit(makeJob('b'))).rejects.toThrow(/reading its jobs/);
    home.load(await opening.read(home.claimed));
    expect(home.getState('a')).toBe('running');
  });

  // Guards against a task that stays lost as its target ended before the home knew of the task.
  it('starts tasks anew whose target was lost meanwhile', async () => {
    await runUnderEarlierHome();
    const { targetId } = world.targets.begun[0]!;
    world.targets.remove(targetId);
    const { home, opening } = await world.claim();
    await home.leases.whenLeasesFresh(LEASE_MS);
    home.load(await opening.read(home.claimed));
    home.tick();
    await world.waitForRunning(TASK_NAMES);
  });

  // Guards against a job that is given up for targets that left by themselves before it was known.
  it('counts no crash for a draining target that leaves meanwhile', async () => {
    await runUnderEarlierHome();
    const { targetId } = world.targets.begun[0]!;
    world.entries.set(targetId, makeEntry(targetId, { isDraining: true }));
    const { home, opening } = await world.claim();
    await home.leases.whenLeasesFresh(LEASE_MS);
    world.targets.remove(targetId);
    await vi.waitFor(() => expect(home.leases.targetCount).toBe(1), 3_000);
    home.load(await opening.read(home.claimed));
    home.tick();
    await world.waitForRunning(TASK_NAMES);
    const { records } = await world.store.readNewest('jobs', 0);
    const decoded = records.map((record) => decodeJobRecord(record));
    const progress = decoded.find((record) => record.type === 'progress')!;
    expect(progress.progress.crashes).toEqual([]);
  });

  // Guards against a task that runs twice as its end was acknowledged before it was stored.
  it('acknowledges no end', async () => {
    await runUnderEarlierHome();
    const { targetId, taskName } = world.targets.begun[0]!;
    world.targets.finish(taskName, 'failed');
    const { home, opening } = await world.claim();
    await home.leases.whenLeasesFresh(LEASE_MS);
    await sleep(LEASE_MS);
    expect(world.targets.get(targetId).unacknowledged).toHaveLength(1);
    home.load(await opening.read(home.claimed));
    home.tick();
    await vi.waitFor(() => expect(world.targets.get(targetId).unacknowledged).toEqual([]), 3_000);
    await world.waitForRunning(TASK_NAMES);
  });
});
