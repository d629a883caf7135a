import { describe, expect, it, vi } from 'vitest';
import {
  type HomeWorld,
  makeEntry,
  makeJob,
  makeStep,
  EMPTY_SYNC_REQUEST,
  useHomeWorld,
} from './HomeWorld.js';

describe('TaskHome', () => {
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
  });

  it('runs the steps of a job in their order and tells when it is completed', async () => {
    const home = await world.open();
    const steps = [makeStep({ taskCount: 2 }), makeStep({ afterSteps: [0] })];
    await home.submit(makeJob('a', steps));
    await world.waitForRunning(['a.0.0.0', 'a.0.0.1']);
    world.targets.finish('a.0.0.0', 'done');
    await vi.waitFor(() => expect(world.countEvents('taskEnded')).toBe(1));
    expect(world.targets.listRunning()).toEqual(['a.0.0.1']);
    world.targets.finish('a.0.0.1', 'done');
    await world.waitForRunning(['a.0.1.0']);
    expect(home.getState('a')).toBe('running');
    world.targets.finish('a.0.1.0', 'done');
    await vi.waitFor(() => expect(home.getState('a')).toBe('completed'));
  });

  it('takes the repeat of a submission for the same job', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    expect(world.targets.begun).toHaveLength(1);
  });

  // Guards against a task that runs twice: it ends while the store is unavailable, so the end is
  // not stored, but the home acknowledges the end when the target repeats it. The next home knows
  // no end and runs the task again. Cause: a report with nothing new to write counted as stored.
  it('lets a target forget an end only once it is stored', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    world.store.faults.rejects = true;
    world.targets.finish('a.0.0.0', 'done');
    await vi.waitFor(() => expect(world.countEvents('taskEnded')).toBe(1));
    // Long enough for the target to have repeated the end several times.
    await vi.waitFor(() => expect(world.countEvents('appendRejected')).toBeGreaterThan(20), 5_000);
    const kept = ['t1', 't2'].flatMap((id) => world.targets.get(id).unacknowledged);
    expect(kept).toHaveLength(1);
    world.kill(home);
    world.store.faults.rejects = false;
    const next = await world.open();
    await vi.waitFor(() => expect(next.getState('a')).toBe('completed'));
    expect(world.targets.begun).toHaveLength(1);
  });

  // Guards against a task that begins on a target seconds after it announced its leave, and is lost
  // with it: the first start is not answered, the next report shows no run, the start is repeated.
  it('does not repeat a start on a target that has announced its leave meanwhile', async () => {
    world.targets.setFaults('t2', { isCutOff: true });
    world.targets.setFaults('t1', { appliesStartsLate: true });
    const home = await world.open();
    await home.submit(makeJob('a'));
    await vi.waitFor(() => expect(world.countEvents('startUnanswered')).toBeGreaterThan(0));
    world.entries.set('t1', makeEntry('t1', { isDraining: true }));
    await vi.waitFor(() => expect(world.targets.stops).toContain('a.0.0.0'));
    world.targets.setFaults('t1', { appliesStartsLate: false });
    world.targets.setFaults('t2', { isCutOff: false });
    await world.waitForRunning(['a.0.0.0']);
    expect(world.targets.begun.map(({ targetId }) => targetId)).toEqual(['t2']);
  });

  // Guards against a task that begins on a target three seconds after the target announced its
  // leave: its earlier placement waited that long for a store that did not answer. Cause: once the
  // placement was stored, the start was sent regardless of later announcements.
  it('does not start a task whose target has announced its leave while it was stored', async () => {
    world.targets.setFaults('t2', { isCutOff: true });
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    world.store.faults.rejects = true;
    const submitted = home.submit(makeJob('b'));
    await vi.waitFor(() => expect(world.countEvents('taskPlaced')).toBe(2));
    world.entries.set('t1', makeEntry('t1', { isDraining: true }));
    await vi.waitFor(() => expect(world.countEvents('targetDraining')).toBe(1));
    world.store.faults.rejects = false;
    await submitted;
    world.targets.setFaults('t2', { isCutOff: false });
    await world.waitForRunning(['a.0.0.0', 'b.0.0.0']);
    const begun = world.targets.begun.filter(({ taskName }) => taskName === 'b.0.0.0');
    expect(begun.map(({ targetId }) => targetId)).toEqual(['t2']);
  });

  // Guards against a task that runs twice: the home places it, the start is not answered, and the
  // home is killed. The start takes effect seconds later, after the next home has placed the task
  // on another target. Cause: an unanswered start counted as one that did not happen.
  it('does not run a task twice whose start takes effect after a change of homes', async () => {
    ['t1', 't2'].forEach((id) => world.targets.setFaults(id, { appliesStartsLate: true }));
    const home = await world.open();
    await home.submit(makeJob('a'));
    await vi.waitFor(() => expect(world.countEvents('startUnanswered')).toBeGreaterThan(0));
    world.kill(home);
    ['t1', 't2'].forEach((id) => world.targets.setFaults(id, { appliesStartsLate: false }));
    const next = await world.open();
    await world.waitForRunning(['a.0.0.0']);
    world.targets.applyLateStarts();
    world.targets.finish('a.0.0.0', 'done');
    await vi.waitFor(() => expect(next.getState('a')).toBe('completed'));
    expect(world.targets.begun).toHaveLength(1);
  });

  // Guards against a task that runs after its job was cancelled: the start is not answered, the job
  // is cancelled, and seconds later the target carries out the start. Cause: only tasks that were
  // known to run were stopped.
  it('stops a cancelled task whose start takes effect later', async () => {
    ['t1', 't2'].forEach((id) => world.targets.setFaults(id, { appliesStartsLate: true }));
    const home = await world.open();
    await home.submit(makeJob('a'));
    await vi.waitFor(() => expect(world.countEvents('startUnanswered')).toBeGreaterThan(0));
    expect(await home.cancel('a')).toBe(true);
    expect(home.getState('a')).toBe('cancelled');
    // The stop is accepted before the start arrives.
    await vi.waitFor(() => expect(world.countEvents('taskEnded')).toBe(1));
    world.targets.applyLateStarts();
    expect(world.targets.listRunning()).toEqual([]);
  });

  it('stops the running tasks of a cancelled job', async () => {
    const home = await world.open();
    await home.submit(makeJob('a', [makeStep({ taskCount: 3 })]));
    await world.waitForRunning(['a.0.0.0', 'a.0.0.1', 'a.0.0.2']);
    await home.cancel('a');
    await world.waitForRunning([]);
  });

  it('shows a job as failed only after its attempts are used up', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    world.targets.finish('a.0.0.0', 'failed');
    await vi.waitFor(() => expect(world.targets.begun).toHaveLength(2));
    expect(home.getState('a')).toBe('running');
    world.targets.finish('a.0.0.0', 'failed');
    await vi.waitFor(() => expect(home.getState('a')).toBe('failed'));
    expect(new Set(world.targets.begun.map(({ targetId }) => targetId)).size).toBe(2);
  });

  it('starts a task elsewhere once the lifetime of its target is over', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    const { targetId } = world.targets.begun[0]!;
    world.targets.remove(targetId);
    world.entries.delete(targetId);
    await vi.waitFor(() => expect(world.targets.begun).toHaveLength(2));
    expect(world.targets.begun[1]).toMatchObject({ taskName: 'a.0.0.0', run: 2 });
    expect(home.getState('a')).toBe('running');
  });

  // A pickup was dispatched twice: its target was cut off from everyone and ran on, while the home
  // gave the task to another. Cause: silence was taken for the end of the lifetime.
  it('keeps a task on a target that is silent until its lease has lapsed', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    const { targetId } = world.targets.begun[0]!;
    world.targets.setFaults(targetId, { isCutOff: true });
    world.entries.delete(targetId);
    await vi.waitFor(() => expect(world.countEvents('targetSilent')).toBe(1));
    expect(world.targets.begun).toHaveLength(1);
    world.targets.setFaults(targetId, { isCutOff: false });
    await vi.waitFor(() => expect(world.countEvents('targetHeardAgain')).toBe(1));
    expect(home.getState('a')).toBe('running');
    expect(world.targets.begun).toHaveLength(1);
  });

  // Guards against a service that is down for half a minute: its target has crashed, and the home
  // continues to renew the lease. Each unanswered renewal may have been carried out, so the lease
  // is never certain to have lapsed, and the tasks are not started elsewhere.
  it('starts tasks elsewhere once the lease of a silent, unlisted target has lapsed', async () => {
    world.leaseMs = 300;
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    const { targetId } = world.targets.begun[0]!;
    world.targets.setFaults(targetId, { isCutOff: true });
    world.entries.delete(targetId);
    await vi.waitFor(() => expect(world.targets.begun).toHaveLength(2), 5_000);
    expect(world.targets.begun[1]).toMatchObject({ taskName: 'a.0.0.0', run: 2 });
  });

  // Guards against a delay of five seconds after every crash: tasks of a silent target wait until
  // its lease has lapsed, although the platform's list shows at once that its lifetime is over.
  it('starts tasks elsewhere at once where the list of VMs ends a lifetime', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    const { targetId } = world.targets.begun[0]!;
    world.targets.get(targetId).end('a.0.0.0', 'stopped');
    world.targets.setFaults(targetId, { isCutOff: true });
    const lists = {
      drainedTargets: [],
      drainedForMs: 1_000,
      endedTargets: [targetId],
      crashedTargets: [],
      lostWithRack: [],
    };
    await home.syncPool({ pool: 'pages', ...lists });
    await vi.waitFor(() => expect(world.targets.begun).toHaveLength(2));
    expect(world.targets.begun[1]).toMatchObject({ taskName: 'a.0.0.0', run: 2 });
  });

  it('gives a draining target no new task', async () => {
    world.entries.set('t1', makeEntry('t1', { isDraining: true }));
    const home = await world.open();
    await home.submit(makeJob('a', [makeStep({ taskCount: 4 })]));
    await vi.waitFor(() => expect(world.targets.begun).toHaveLength(4));
    expect(world.targets.begun.every(({ targetId }) => targetId === 't2')).toBe(true);
  });

  it('starts long-running tasks again however they end', async () => {
    const home = await world.open();
    await home.submit(makeJob('a', [makeStep({ isLongRunning: true })]));
    await world.waitForRunning(['a.0.0.0']);
    world.targets.finish('a.0.0.0', 'failed');
    await vi.waitFor(() => expect(world.targets.begun).toHaveLength(2));
    world.targets.finish('a.0.0.0', 'failed');
    await vi.waitFor(() => expect(world.targets.begun).toHaveLength(3));
    expect(home.getState('a')).toBe('running');
  });

  // Guards against denying an accepted job: the caller asks an instance that lost its homes during
  // a network outage and does not know so. Cause: absence from its own table counted as proof.
  it('does not deny a job while it may have been replaced', async () => {
    const home = await world.open();
    expect(home.getState('b')).toBeUndefined();
    world.isGroupLeaseHeld = false;
    expect(() => home.getState('b')).toThrow('may not be the home');
    expect(() => home.countPending('saves')).toThrow('may not be the home');
    await expect(home.cancel('b')).rejects.toThrow('may not be the home');
  });

  // Guards against late answers to callers under load: the home spends its CPU on placement rounds,
  // one for each of 300 reports per second, but only the last before each append has an effect.
  it('places in one round what comes while an append is in progress', async () => {
    const home = await world.open();
    world.store.faults.rejects = true;
    const submitted = [home.submit(makeJob('a'))];
    const listEvents = () => world.events.events.map(({ event }) => event);
    await vi.waitFor(() => expect(listEvents()).toContain('appendRejected'));
    const countRounds = () =>
      world.metrics.measurements.filter(({ name }) => name === 'placement_round_ms').length;
    const before = countRounds();
    submitted.push(...['b', 'c', 'd'].map((jobId) => home.submit(makeJob(jobId))));
    home.tick();
    await new Promise((resolve) => {
      setTimeout(resolve, 60);
    });
    expect(countRounds()).toBe(before);
    world.store.faults.rejects = false;
    await Promise.all(submitted);
    await vi.waitFor(() => expect(home.getState('d')).toBe('running'));
  });

  // Guards against a misleading log: a home that is replaced while it waits for the store still
  // logs a placement, so operators search for a task on a target that never received it.
  it('places nothing once it is closed, also where it waited for the store', async () => {
    const home = await world.open();
    world.store.faults.rejects = true;
    const first = home.submit(makeJob('a')).catch((error: unknown) => error);
    const listEvents = () => world.events.events.map(({ event }) => event);
    await vi.waitFor(() => expect(listEvents()).toContain('appendRejected'));
    const second = home.submit(makeJob('b')).catch((error: unknown) => error);
    home.close();
    expect(await first).toMatchObject({ kind: 'outcome-unknown' });
    expect(await second).toMatchObject({ kind: 'home-unavailable' });
    const placed = world.events.events.filter(({ event }) => event === 'taskPlaced');
    expect(placed.map(({ fields }) => fields.jobId)).not.toContain('b');
  });

  it('refuses a job at once, and never stores it, while the store does not answer', async () => {
    const home = await world.open();
    world.store.faults.isSilent = true;
    const first = home.submit(makeJob('a')).catch((error: unknown) => error);
    await new Promise((resolve) => {
      setTimeout(resolve, 600);
    });
    await expect(home.submit(makeJob('b'))).rejects.toMatchObject({ kind: 'log-unavailable' });
    world.store.faults.isSilent = false;
    expect(await first).toBeUndefined();
    const { records } = await world.store.readNewest('jobs', 0);
    expect(records.some(({ key }) => key.includes('b'))).toBe(false);
  });

  it('stops ordering once a later term has been seen', async () => {
    const home = await world.open();
    await home.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    const next = await world.open();
    await expect(home.submit(makeJob('b'))).rejects.toThrow();
    await next.submit(makeJob('c'));
    await world.waitForRunning(['a.0.0.0', 'c.0.0.0']);
    expect(world.targets.begun).toHaveLength(2);
  });

  it('empties a drained target, one long-running task of a step at a time', async () => {
    const home = await world.open();
    const step = makeStep({ taskCount: 2, isLongRunning: true, maxUnavailableCount: 1 });
    await home.submit(makeJob('a', [step]));
    await world.waitForRunning(['a.0.0.0', 'a.0.0.1']);
    world.addTarget(makeEntry('t3'));
    await vi.waitFor(async () => {
      const { targets } = await home.syncPool({
        ...EMPTY_SYNC_REQUEST,
        drainedTargets: ['t1', 't2'],
        drainedForMs: 1_000,
      });
      const counts = targets.filter(({ targetId }) => targetId !== 't3');
      expect(counts.map(({ runCount }) => runCount)).toEqual([0, 0]);
    }, 5_000);
    await world.waitForRunning(['a.0.0.0', 'a.0.0.1']);
    expect(world.targets.get('t3').runningNames).toHaveLength(2);
  });

  // Guards against a service that loses two of its tasks at once: maintenance stops one, its target
  // reports it for a moment longer, and the second one is stopped meanwhile. Cause: a run that was
  // being stopped counted as running as long as reports listed it.
  it('stops no second task of a step while the first one is still being stopped', async () => {
    const home = await world.open();
    const limits = { maxUnavailableCount: 1, maxTasksPerTarget: 1 };
    const step = makeStep({ taskCount: 2, isLongRunning: true, ...limits });
    await home.submit(makeJob('a', [step]));
    await world.waitForRunning(['a.0.0.0', 'a.0.0.1']);
    ['t1', 't2'].forEach((id) => world.targets.setFaults(id, { stopsSlowly: true }));
    // The second task of the step is the first one to go.
    const { targetId } = world.targets.begun.find(({ taskName }) => taskName === 'a.0.0.1')!;
    await vi.waitFor(async () => {
      await home.syncPool({ ...EMPTY_SYNC_REQUEST, drainedTargets: [targetId] });
      expect(world.targets.stops).toEqual(['a.0.0.1']);
    });
    await Array.from({ length: 10 }).reduce<Promise<void>>(async (before) => {
      await before;
      await new Promise((resolve) => {
        setTimeout(resolve, 20);
      });
      await home.syncPool({ ...EMPTY_SYNC_REQUEST, drainedTargets: ['t1', 't2'] });
    }, Promise.resolve());
    expect(world.targets.stops).not.toContain('a.0.0.0');
  });
});
