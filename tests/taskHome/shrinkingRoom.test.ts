import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it, vi } from 'vitest';
import type { Resources } from '../../src/jobs/index.js';
import { type HomeWorld, makeEntry, makeJob, makeStep, useHomeWorld } from './HomeWorld.js';

/** Capacity for one or two tasks, where there was capacity for four. */
const ONE_TASK: Resources = { cpuMillicores: 1_000, memoryMb: 10_000, gpuCount: 0 };
const TWO_TASKS: Resources = { ...ONE_TASK, cpuMillicores: 2_000 };
const FOUR_TASKS: Resources = { ...ONE_TASK, cpuMillicores: 4_000 };
/** Time in which a home places tasks more than once, in milliseconds. */
const SEVERAL_ROUNDS_MS = 200;

describe('targets whose room shrinks and grows', () => {
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
    world.targets.setFaults('t2', { isCutOff: true });
  });

  function setRoom(targetId: string, capacity: Resources): void {
    world.entries.set(targetId, makeEntry(targetId, { capacity }));
  }

  /** Ends tasks, with time after each in which a home could place others. */
  async function endOneAfterAnother(taskNames: readonly string[]): Promise<void> {
    await taskNames.reduce(async (earlier, taskName) => {
      await earlier;
      world.targets.finish(taskName, 'done');
      await sleep(SEVERAL_ROUNDS_MS);
    }, sleep(SEVERAL_ROUNDS_MS));
  }

  it('get tasks by the capacity that they report now', async () => {
    setRoom('t1', ONE_TASK);
    const home = await world.open();
    await home.submit(makeJob('a', [makeStep({ taskCount: 4 })]));
    await world.waitForRunning(['a.0.0.0']);
    setRoom('t1', FOUR_TASKS);
    await vi.waitFor(() => expect(world.targets.listRunning()).toHaveLength(4));
  });

  // Guards against an overcommitted target: its capacity shrinks while the placement is stored.
  it('get no start that was placed when they had more room', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    world.store.faults.rejects = true;
    const submitted = home.submit(makeJob('b'));
    await vi.waitFor(() => expect(world.countEvents('taskPlaced')).toBe(2));
    setRoom('t1', ONE_TASK);
    await vi.waitFor(() => expect(world.countEvents('appendRejected')).toBeGreaterThan(5));
    world.store.faults.rejects = false;
    await submitted;
    await vi.waitFor(() => expect(world.countEvents('startWithdrawn')).toBe(1));
    expect(world.targets.listRunning()).toEqual(['a.0.0.0']);
    setRoom('t1', FOUR_TASKS);
    await world.waitForRunning(['a.0.0.0', 'b.0.0.0']);
  });

  // Guards against an overcommitted target: an unanswered start is repeated after it has shrunk.
  it('get no repeat of a start that does not fit any more, from the next home either', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    world.targets.setFaults('t1', { appliesStartsLate: true });
    await home.submit(makeJob('b'));
    await vi.waitFor(() => expect(world.countEvents('startUnanswered')).toBeGreaterThan(0));
    world.kill(home);
    setRoom('t1', ONE_TASK);
    world.targets.setFaults('t1', { appliesStartsLate: false });
    await world.open();
    await vi.waitFor(() => expect(world.targets.stops).toContain('b.0.0.0'));
    expect(world.targets.begun.map(({ taskName }) => taskName)).toEqual(['a.0.0.0']);
  });

  // Guards against an overcommitted target: a rush meets one with less than an earlier home used.
  it('get nothing of a rush until what an earlier home placed fits again', async () => {
    const home = await world.open();
    await home.submit(makeJob('a', [makeStep({ taskCount: 4 })]));
    const placed = ['a.0.0.0', 'a.0.0.1', 'a.0.0.2', 'a.0.0.3'];
    await world.waitForRunning(placed);
    world.kill(home);
    setRoom('t1', TWO_TASKS);
    const next = await world.open();
    await next.submit(makeJob('rush', [makeStep({ taskCount: 6 })]));
    await endOneAfterAnother(['a.0.0.0', 'a.0.0.1']);
    expect(world.targets.listRunning().toSorted()).toEqual(['a.0.0.2', 'a.0.0.3']);
    world.targets.finish('a.0.0.2', 'done');
    await vi.waitFor(() => expect(world.targets.listRunning()).toHaveLength(2));
    await sleep(SEVERAL_ROUNDS_MS);
    expect(world.targets.listRunning()).toHaveLength(2);
    expect(world.countEvents('startWithdrawn')).toBe(0);
  });

  // Guards against an overcommitted target: a stray run takes up capacity until it has ended.
  it('get no task while they have a stray run', async () => {
    const home = await world.open();
    world.targets.setFaults('t1', { stopsSlowly: true });
    await vi.waitFor(() => expect(world.countEvents('targetAppeared')).toBe(2));
    const stray = { taskName: 'old.0.0.0', run: 1, payload: '', leaseUntilTargetMs: Infinity };
    world.targets.get('t1').start({ ...stray, term: home.term, checkpoint: undefined });
    await vi.waitFor(() => expect(world.countEvents('strayTask')).toBeGreaterThan(0));
    await home.submit(makeJob('a'));
    await vi.waitFor(() => expect(world.countEvents('strayTask')).toBeGreaterThan(5));
    expect(world.targets.listRunning()).toEqual(['old.0.0.0']);
    world.targets.get('t1').end('old.0.0.0', 'stopped');
    await world.waitForRunning(['a.0.0.0']);
  });
});
