import { beforeEach, describe, expect, it, vi } from 'vitest';
import type { TaskHome } from '../../src/taskHome/index.js';
import { HomeWorld, makeEntry, makeJob } from './HomeWorld.js';

let world: HomeWorld;

beforeEach(() => {
  world = new HomeWorld(['t1@1']);
  return () => world.close();
});

/** Starts a target again under its id: it knows nothing of before, and its counts start anew. */
function restart(before: string, after: string): void {
  world.entries.delete(before);
  world.targets.crash(before);
  world.addTarget(makeEntry(after));
}

async function finish(taskName: string): Promise<void> {
  await world.waitForRunning([taskName]);
  world.targets.finish(taskName, 'done');
}

async function waitForState(home: TaskHome, jobId: string, state: string): Promise<void> {
  await vi.waitFor(() => expect(home.getState(jobId)).toBe(state));
}

// Guards against work that is done and runs again, as its end counts as one of the lifetime before.
// A lease is a minute here, and each wait a second.
describe('a target that starts again under its id', () => {
  it('has its ends taken, although their numbers begin anew', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await finish('a.0.0.0');
    await waitForState(home, 'a', 'completed');
    restart('t1@1', 't1@2');
    await home.submit(makeJob('b'));
    await finish('b.0.0.0');
    await waitForState(home, 'b', 'completed');
    expect(world.targets.listRunning()).toEqual([]);
  });

  it('begins again at once what ran in its lifetime before', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    restart('t1@1', 't1@2');
    await world.waitForRunning(['a.0.0.0']);
  });

  it('begins again at once what an earlier home started in the lifetime before', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    world.kill(home);
    restart('t1@1', 't1@2');
    await world.open();
    await world.waitForRunning(['a.0.0.0']);
  });

  it('gets work in its third lifetime, if the second one was never seen', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    restart('t1@1', 't1@2');
    restart('t1@2', 't1@3');
    await world.waitForRunning(['a.0.0.0']);
  });

  // Guards against two runs of a task: the target may carry out a start after it has restarted.
  it('has refused an unanswered start of before when the task begins elsewhere', async () => {
    world.targets.setFaults('t1@1', { appliesStartsLate: true });
    const home = await world.open();
    await home.submit(makeJob('a'));
    await vi.waitFor(() => expect(world.targets.countLateStarts('t1@1')).toBeGreaterThan(0));
    world.addTarget(makeEntry('t2'));
    restart('t1@1', 't1@2');
    await world.waitForRunning(['a.0.0.0']);
    const start = {
      taskName: 'a.0.0.0',
      run: 1,
      payload: '',
      term: home.term,
      leaseUntilTargetMs: 1e15,
    };
    const late = await world.targets.start(makeEntry('t1@2'), start);
    expect(late).toMatchObject({ type: 'refused', reason: 'stale-run' });
  });
});
