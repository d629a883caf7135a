import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it, vi } from 'vitest';
import {
  type HomeWorld,
  makeJob,
  makeStep,
  EMPTY_SYNC_REQUEST,
  useHomeWorld,
} from './HomeWorld.js';

/** Time in which several reports arrive and the fleet is read several times, in milliseconds. */
const SEVERAL_REPORTS_MS = 200;

describe('the log of a start', () => {
  let world: HomeWorld;

  useHomeWorld((fresh) => {
    world = fresh;
  });

  const listRepeats = (event: 'startRefused' | 'startUnanswered'): readonly unknown[] =>
    world.events.events
      .filter((kept) => kept.event === event)
      .map(({ fields }) => [fields.run, fields.isRepeat]);

  const loseStarts = (appliesStartsLate: boolean): void =>
    ['t1', 't2'].forEach((id) => world.targets.setFaults(id, { appliesStartsLate }));

  const refuseStarts = (): unknown =>
    vi
      .spyOn(world.targets, 'start')
      .mockResolvedValue({ type: 'refused', reason: 'lease-past', targetClockMs: undefined });

  it('tells that the first start of a run was refused', async () => {
    refuseStarts();
    const home = await world.open();
    await home.submit(makeJob('a'));
    await vi.waitFor(() => expect(listRepeats('startRefused').length).toBeGreaterThan(1));
    expect(listRepeats('startRefused').slice(0, 2)).toEqual([
      [1, false],
      [2, false],
    ]);
  });

  it('tells that a repeat was unanswered or refused, after a start without an answer', async () => {
    loseStarts(true);
    const home = await world.open();
    await home.submit(makeJob('a'));
    await vi.waitFor(() => expect(listRepeats('startUnanswered').length).toBeGreaterThan(1));
    expect(listRepeats('startUnanswered').slice(0, 2)).toEqual([
      [1, false],
      [1, true],
    ]);
    refuseStarts();
    await vi.waitFor(() => expect(listRepeats('startRefused')).not.toEqual([]));
    expect(listRepeats('startRefused')[0]).toEqual([1, true]);
  });

  it('tells that a refused start may repeat one of an earlier home', async () => {
    loseStarts(true);
    const home = await world.open();
    await home.submit(makeJob('a'));
    await vi.waitFor(() => expect(world.countEvents('startUnanswered')).toBeGreaterThan(0));
    world.kill(home);
    refuseStarts();
    await world.open();
    await vi.waitFor(() => expect(listRepeats('startRefused')).not.toEqual([]));
    expect(listRepeats('startRefused')[0]).toEqual([1, true]);
  });
});

describe('a stop without an answer', () => {
  let world: HomeWorld;
  let syncPool: (drainedTargets: readonly string[]) => Promise<unknown>;
  let secondTargetId: string;

  useHomeWorld((fresh) => {
    world = fresh;
  });

  /**
   * Runs a service of two tasks, and stops the second one on a target that leaves stops unanswered.
   */
  async function stopSecond(): Promise<void> {
    const home = await world.open();
    const limits = { maxUnavailableCount: 1, maxTasksPerTarget: 1 };
    await home.submit(makeJob('a', [makeStep({ taskCount: 2, isLongRunning: true, ...limits })]));
    await world.waitForRunning(['a.0.0.0', 'a.0.0.1']);
    secondTargetId = world.targets.begun.find(({ taskName }) => taskName === 'a.0.0.1')!.targetId;
    world.targets.setFaults(secondTargetId, { losesStops: true });
    syncPool = (drainedTargets) => home.syncPool({ ...EMPTY_SYNC_REQUEST, drainedTargets });
    await vi.waitFor(async () => {
      await syncPool([secondTargetId]);
      expect(world.targets.stops).toContain('a.0.0.1');
    });
  }

  // Guards against two unavailable tasks of a step, as the first stop takes effect late.
  it('counts as pending, so that no second task of the step is stopped', async () => {
    await stopSecond();
    await sleep(SEVERAL_REPORTS_MS);
    await syncPool(['t1', 't2']);
    await sleep(SEVERAL_REPORTS_MS);
    expect(world.targets.stops).not.toContain('a.0.0.0');
  });

  // Guards against a stop that takes effect late, when the run counts as at work again.
  it('is repeated until the target has answered', async () => {
    await stopSecond();
    await syncPool([]);
    world.targets.setFaults(secondTargetId, { losesStops: false });
    await vi.waitFor(() => expect(world.targets.begun).toHaveLength(3));
  });
});
