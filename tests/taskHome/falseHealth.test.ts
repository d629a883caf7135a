import { beforeEach, describe, expect, it, vi } from 'vitest';
import type { TaskHome } from '../../src/taskHome/index.js';
import { type HomeWorld, makeEntry, makeJob, makeStep, useHomeWorld } from './HomeWorld.js';

const TARGETS = ['t1', 't2', 't3', 't4'] as const;
/** As many tasks as the four targets have room for: four each. */
const TASK_COUNT = 16;
const ROOM = 4;
/** A target is left alone for a part of this time after a refusal, in milliseconds. */
const WAIT_MS = 3_000;
const FINISH_INTERVAL_MS = 5;

describe('false health', () => {
  let world: HomeWorld;
  let home: TaskHome;

  useHomeWorld((created) => {
    world = created;
    TARGETS.slice(2).forEach((targetId) => world.addTarget(makeEntry(targetId)));
  });

  const setRefusing = (targetIds: readonly string[], isRefusing: boolean): void =>
    targetIds.forEach((targetId) =>
      world.targets.setFaults(targetId, { refusesStarts: isRefusing ? 'unhealthy' : undefined }),
    );

  beforeEach(async () => {
    home = await world.open();
  });

  // Guards against a target that is flooded as all others say falsely that they are ill.
  it('sends the one target that starts tasks no more than it has room for', async () => {
    setRefusing(['t1', 't2', 't3'], true);
    await home.submit(makeJob('a', [makeStep({ taskCount: TASK_COUNT })]));
    await vi.waitFor(() => expect(world.targets.listRunning()).toHaveLength(ROOM), WAIT_MS);
    expect(world.targets.get('t4').runningNames).toHaveLength(ROOM);
    setRefusing(['t1', 't2', 't3'], false);
    await vi.waitFor(() => expect(world.targets.listRunning()).toHaveLength(TASK_COUNT), WAIT_MS);
    expect(world.countEvents('targetUneven')).toBe(0);
  });

  // Guards against a pool that gets no task for long, as each of its targets has refused one.
  it('tries a pool again whose targets have all refused starts', async () => {
    setRefusing(TARGETS, true);
    await home.submit(makeJob('a', [makeStep({ taskCount: TASK_COUNT })]));
    await vi.waitFor(() => expect(world.countEvents('startRefused')).toBeGreaterThan(ROOM));
    expect(world.targets.listRunning()).toEqual([]);
    setRefusing(TARGETS, false);
    await vi.waitFor(() => expect(world.targets.listRunning()).toHaveLength(TASK_COUNT), WAIT_MS);
  });

  // Guards against a target that says it is sound, fails each task at once, and so takes them all.
  it('keeps tasks from a target that fails them and says that it is sound', async () => {
    const timer = setInterval(() => {
      const { runningNames } = world.targets.get('t1');
      runningNames.forEach((taskName) => world.targets.get('t1').end(taskName, 'failed'));
    }, FINISH_INTERVAL_MS);
    const jobIds = ['a', 'b', 'c', 'd'];
    await Promise.all(
      jobIds.map((jobId) => home.submit(makeJob(jobId, [makeStep({ taskCount: 3 })]))),
    );
    await vi.waitFor(() => expect(world.targets.listRunning()).toHaveLength(12), WAIT_MS);
    clearInterval(timer);
    const begunThere = world.targets.begun.filter(({ targetId }) => targetId === 't1');
    expect(begunThere.length).toBeLessThanOrEqual(2 * ROOM);
    world.targets.listRunning().forEach((taskName) => world.targets.finish(taskName, 'done'));
    await vi.waitFor(() =>
      expect(jobIds.map((jobId) => home.getState(jobId))).toEqual(jobIds.map(() => 'completed')),
    );
  });
});
