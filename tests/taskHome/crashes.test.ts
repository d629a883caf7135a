import { describe, expect, it, vi } from 'vitest';
import type { TaskHome } from '../../src/taskHome/index.js';
import {
  type HomeWorld,
  makeEntry,
  makeJob,
  makeStep,
  EMPTY_SYNC_REQUEST,
  useHomeWorld,
} from './HomeWorld.js';

const CULPRIT = 'bad.0.0.0';
/** Lifetimes of one target, one after the other. */
const LIFETIMES = ['t1-1', 't1-2', 't1-3', 't1-4'];

describe('crashes of targets', () => {
  let world: HomeWorld;
  let crashed: string[];

  useHomeWorld((created) => {
    world = created;
    crashed = [];
    world.targets.onCrash = (targetId) => crashed.push(targetId);
    world.targets.crashingTasks.add(CULPRIT);
  });

  /** Reports the crashed targets to a home; each of them is back in another lifetime. */
  async function tellCrashes(home: TaskHome, areBlamed = true): Promise<void> {
    const ended = crashed.splice(0);
    ended.forEach((targetId) => {
      world.entries.delete(targetId);
      world.addTarget(makeEntry(`${targetId}+`));
    });
    await home.syncPool({
      ...EMPTY_SYNC_REQUEST,
      endedTargets: ended,
      crashedTargets: areBlamed ? ended : [],
    });
  }

  async function waitForCrash(): Promise<void> {
    await vi.waitFor(() => expect(crashed.length).toBeGreaterThan(0), 3_000);
  }

  async function crashTwice(home: TaskHome): Promise<void> {
    await waitForCrash();
    await tellCrashes(home);
    await waitForCrash();
    await tellCrashes(home);
  }

  function countStarts(taskName: string): number {
    return world.targets.begun.filter((run) => run.taskName === taskName).length;
  }

  it('gives a task up under which two targets crash, and finishes those that were beside it', async () => {
    const home = await world.open();
    await home.submit(makeJob('good', [makeStep({ taskCount: 3 })]));
    await home.submit(makeJob('bad'));
    await crashTwice(home);
    expect(home.getState('bad')).toBe('failed');
    expect(world.countEvents('taskGivenUp')).toBe(1);
    const tasks = ['good.0.0.0', 'good.0.0.1', 'good.0.0.2'];
    await world.waitForRunning(tasks);
    tasks.forEach((taskName) => world.targets.finish(taskName, 'done'));
    await vi.waitFor(() => expect(home.getState('good')).toBe('completed'));
    expect(countStarts(CULPRIT)).toBe(2);
  });

  // Guards against a crash count that restarts with each home: the task would never be given up.
  it('remembers the crashes of a task in the next home', async () => {
    const home = await world.open();
    await home.submit(makeJob('bad'));
    await waitForCrash();
    await tellCrashes(home);
    await waitForCrash();
    world.kill(home);
    const next = await world.open();
    await tellCrashes(next);
    await vi.waitFor(() => expect(next.getState('bad')).toBe('failed'));
    expect(countStarts(CULPRIT)).toBe(2);
  });

  // Guards against a crash that no home counts: the first home dies before the crash is stored.
  it('counts a crash that the earlier home could not store', async () => {
    const home = await world.open();
    await home.submit(makeJob('bad'));
    await waitForCrash();
    await tellCrashes(home);
    await waitForCrash();
    const ended = [...crashed];
    world.store.faults.rejects = true;
    const request = { ...EMPTY_SYNC_REQUEST, endedTargets: ended, crashedTargets: ended };
    const refused = expect(home.syncPool(request)).rejects.toThrow(/closed/);
    await vi.waitFor(() => expect(world.countEvents('appendRejected')).toBeGreaterThan(0));
    world.kill(home);
    await refused;
    world.store.faults.rejects = false;
    const next = await world.open();
    await tellCrashes(next);
    await vi.waitFor(() => expect(next.getState('bad')).toBe('failed'));
    expect(countStarts(CULPRIT)).toBe(2);
  });

  // Guards against a task that takes a target down in every home: none lives to note its crash.
  it('counts the crashes that no home lived to note', async () => {
    const first = await world.open();
    await first.submit(makeJob('bad'));
    await waitForCrash();
    world.kill(first);
    const second = await world.open();
    await tellCrashes(second);
    await waitForCrash();
    world.kill(second);
    const third = await world.open();
    await tellCrashes(third);
    await vi.waitFor(() => expect(third.getState('bad')).toBe('failed'));
    expect(countStarts(CULPRIT)).toBe(2);
  });

  // Guards against a job that is shown as failed, of which nothing had begun on a crashed target.
  it('gives no task up of which a dead target has received no start', async () => {
    const home = await world.open();
    const start = vi.spyOn(world.targets, 'start');
    start.mockImplementation(async ({ targetId }) => {
      if (!crashed.includes(targetId)) world.targets.crash(targetId);
      return { type: 'unreachable' };
    });
    await home.submit(makeJob('good'));
    for (let loss = 0; loss < 5; loss += 1) {
      // eslint-disable-next-line no-await-in-loop -- one loss follows the other
      await waitForCrash();
      // eslint-disable-next-line no-await-in-loop -- one loss follows the other
      await tellCrashes(home);
    }
    expect(home.getState('good')).toBe('queued');
    await waitForCrash();
    start.mockRestore();
    await tellCrashes(home);
    await world.waitForRunning(['good.0.0.0']);
  });

  // Guards against a task that hides behind a repeat of its start, which a dead target refuses.
  it('counts a crash after a start without an answer, also if its repeat reaches nobody', async () => {
    const home = await world.open();
    const start = vi.spyOn(world.targets, 'start');
    start.mockImplementation(async ({ targetId }) => {
      if (crashed.includes(targetId)) return { type: 'unreachable' };
      world.targets.crash(targetId);
      throw new Error('The target has crashed.');
    });
    await home.submit(makeJob('bad'));
    await crashTwice(home);
    await vi.waitFor(() => expect(home.getState('bad')).toBe('failed'));
  });

  // Guards against tasks that are given up because of lost racks, moves, maintenance or lapses.
  it('gives no task up whose targets are lost for other reasons', async () => {
    const home = await world.open();
    await home.submit(makeJob('bad'));
    for (let loss = 0; loss < 6; loss += 1) {
      // eslint-disable-next-line no-await-in-loop -- one loss follows the other
      await waitForCrash();
      // eslint-disable-next-line no-await-in-loop -- one loss follows the other
      await tellCrashes(home, false);
    }
    expect(home.getState('bad')).toBe('queued');
  });

  // Guards against a crash that is attributed to no task: the target's next lifetime answers before
  // the crash is reported.
  it('blames a task for a crash that becomes known after the loss', async () => {
    const home = await world.open();
    await home.submit(makeJob('bad'));
    await waitForCrash();
    await tellCrashes(home, false);
    const first = world.targets.begun[0]!.targetId;
    await home.syncPool({ ...EMPTY_SYNC_REQUEST, endedTargets: [first], crashedTargets: [first] });
    await waitForCrash();
    await tellCrashes(home);
    await vi.waitFor(() => expect(home.getState('bad')).toBe('failed'));
    expect(countStarts(CULPRIT)).toBe(2);
  });

  // Guards against a task that takes down a target each time it is back, before a list shows it up.
  it('counts the crashes of targets that no list of VMs has shown', async () => {
    world.entries.clear();
    const home = await world.open();
    await home.submit(makeJob('bad'));
    await LIFETIMES.reduce(async (earlier, targetId) => {
      await earlier;
      world.addTarget(makeEntry(targetId));
      await waitForCrash();
      world.entries.delete(targetId);
      world.targets.setFaults(crashed.pop()!, { isCutOff: false });
    }, Promise.resolve());
    await vi.waitFor(() => expect(home.getState('bad')).toBe('failed'));
    expect(countStarts(CULPRIT)).toBe(LIFETIMES.length);
  });

  // Guards against other tasks on the target that lose their work in the second crash of a task.
  it('keeps other tasks off a target on which a task under suspicion has just begun', async () => {
    world.targets.crashingTasks.clear();
    const home = await world.open();
    await home.submit(makeJob('bad'));
    await world.waitForRunning([CULPRIT]);
    const { targetId } = world.targets.begun[0]!;
    world.targets.crash(targetId);
    await tellCrashes(home);
    await vi.waitFor(() => expect(countStarts(CULPRIT)).toBe(2));
    await home.submit(makeJob('good', [makeStep({ taskCount: 4 })]));
    await vi.waitFor(() => expect(world.targets.listRunning()).toHaveLength(5));
    const held = world.targets.begun.find(({ taskName, run }) => taskName === CULPRIT && run === 2);
    const beside = world.targets.begun.filter(
      ({ taskName, targetId: id }) => taskName !== CULPRIT && id === held!.targetId,
    );
    expect(beside).toEqual([]);
  });

  it('gives up a gang of which one member crashes its targets', async () => {
    const home = await world.open();
    await home.submit(makeJob('bad', [makeStep({ taskCount: 2, isGang: true })]));
    await crashTwice(home);
    await vi.waitFor(() => expect(home.getState('bad')).toBe('failed'));
    await world.waitForRunning([]);
  });

  it('gives up a long-running task that crashes its targets', async () => {
    const home = await world.open();
    await home.submit(makeJob('bad', [makeStep({ taskCount: 2, isLongRunning: true })]));
    await crashTwice(home);
    await vi.waitFor(() => expect(home.getState('bad')).toBe('failed'));
    await world.waitForRunning([]);
  });
});
