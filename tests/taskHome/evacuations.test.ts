import { setTimeout as sleep } from 'node:timers/promises';
import { beforeEach, describe, expect, it, vi } from 'vitest';
import type { TaskHome } from '../../src/taskHome/index.js';
import { AdvancedClock } from '../support/AdvancedClock.js';
import {
  EMPTY_SYNC_REQUEST,
  type HomeWorld,
  makeEntry,
  makeJob,
  makeStep,
  useHomeWorld,
} from './HomeWorld.js';

const TARGETS = ['t1', 't2', 't3'] as const;
/** A service of three tasks, of which one may be away. */
const SERVICE = makeStep({
  taskCount: 3,
  isLongRunning: true,
  maxUnavailableCount: 1,
  maxTasksPerTarget: 1,
});
/** Longer than any report counts. */
const PAUSE_MS = 5_000;
/** Time in which a home checks its targets several times, in milliseconds. */
const SEVERAL_TICKS_MS = 100;
/** Longer than any test. */
const DRAINED_FOR_MS = 600_000;

type Drain = 'the fleet home' | 'the target';
const DRAINS: readonly Drain[] = ['the fleet home', 'the target'];

describe('evacuations', () => {
  let clock: AdvancedClock;
  let home: TaskHome;
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
    world.addTarget(makeEntry('t3'));
  });

  const drain = async (targetId: string, by: Drain): Promise<void> => {
    if (by === 'the target') {
      world.entries.set(targetId, makeEntry(targetId, { isDraining: true }));
      return;
    }
    const drainedTargets = [targetId];
    const request = { ...EMPTY_SYNC_REQUEST, drainedTargets, drainedForMs: DRAINED_FOR_MS };
    await home.syncPool(request).catch(() => undefined);
  };

  const setReportsDelayed = (delaysReports: boolean): void =>
    TARGETS.forEach((targetId) => world.targets.setFaults(targetId, { delaysReports }));

  /** Lets each target make a report that the home has not read yet. */
  const holdReports = async (): Promise<void> => {
    setReportsDelayed(true);
    const { targets } = world;
    await vi.waitFor(() =>
      expect(TARGETS.map((targetId) => targets.countLateReports(targetId))).toEqual([1, 1, 1]),
    );
  };

  const deliverReports = (): void =>
    TARGETS.forEach((targetId) => world.targets.deliverLateReports(targetId));

  /** Ends two of the three tasks, and returns the target of the third. */
  const endTwo = (): string => {
    const { targets } = world;
    ['a.0.0.0', 'a.0.0.1'].forEach((taskName) => targets.finish(taskName, 'failed'));
    return targets.begun.find(({ taskName }) => taskName === 'a.0.0.2')!.targetId;
  };

  beforeEach(async () => {
    clock = new AdvancedClock();
    home = await world.open(clock);
    await home.submit(makeJob('a', [SERVICE]));
    await world.waitForRunning(['a.0.0.0', 'a.0.0.1', 'a.0.0.2']);
  });

  describe.each(DRAINS)('of a target drained by %s', (by) => {
    it('begin while all other tasks are at work', async () => {
      const { targets } = world;
      await drain('t3', by);
      await vi.waitFor(() => expect(targets.stops).toHaveLength(1));
    });

    // Guards against a home that may have been replaced: it stops a task that it can't start again.
    it('wait until this instance is certain to be the home', async () => {
      const { targets } = world;
      await holdReports();
      clock.advance(PAUSE_MS);
      await drain('t3', by);
      world.isGroupLeaseHeld = false;
      setReportsDelayed(false);
      deliverReports();
      await sleep(SEVERAL_TICKS_MS);
      expect(targets.stops).toEqual([]);
      world.isGroupLeaseHeld = true;
      await vi.waitFor(() => expect(targets.stops).toHaveLength(1));
    });

    // Guards against a home that was paused and takes the answers in its sockets for fresh.
    it('do not rest on reports that were read late', async () => {
      const { targets } = world;
      await holdReports();
      const targetId = endTwo();
      clock.advance(PAUSE_MS);
      await drain(targetId, by);
      deliverReports();
      await sleep(SEVERAL_TICKS_MS);
      expect(targets.stops).toEqual([]);
    });

    // Guards against a home that was paused after it had read the last reports.
    it('do not rest on reports from before a pause', async () => {
      const { targets } = world;
      await holdReports();
      deliverReports();
      await holdReports();
      const targetId = endTwo();
      clock.advance(PAUSE_MS);
      await drain(targetId, by);
      await sleep(SEVERAL_TICKS_MS);
      expect(targets.stops).toEqual([]);
    });
  });
});
