import { describe, expect, it, vi } from 'vitest';
import { createJobRow, placeTask } from '../../src/jobs/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import {
  SilentTargetsLog,
  type SilentTargetsLogOptions,
} from '../../src/taskHome/SilentTargetsLog.js';
import { ManualClock } from '../../src/utils/index.js';
import { type HomeWorld, makeEntry, makeJob, makeStep, useHomeWorld } from './HomeWorld.js';

const START_MS = 10_000;

interface Session {
  readonly isReachable: boolean;
  readonly answeredAtMs: number | undefined;
  readonly latestLapseAtMs: number;
}

function track(targetId: string, session: Session, isListed: boolean) {
  return { entry: makeEntry(targetId), session, isListed, appearedAtMs: 1_000 };
}

/** Watches a job with one task on each of the given targets. */
function watch(usedTargets: readonly string[], tracked: readonly unknown[]) {
  const events = new MemoryEventLog();
  const clock = new ManualClock(START_MS);
  const created = createJobRow(makeJob('a', [makeStep({ taskCount: usedTargets.length })]));
  const row = usedTargets.reduce(
    (changed, targetId, position) => placeTask(changed, position, targetId),
    created,
  );
  const log = new SilentTargetsLog({
    table: { listActive: () => [row] },
    sessions: { listTracked: () => tracked },
    events,
    partition: 4,
    term: 3,
    clock,
  } as unknown as SilentTargetsLogOptions);
  return { clock, events, log };
}

const HEARD = { isReachable: true, answeredAtMs: 9_900, latestLapseAtMs: 14_000 };
const SILENT = { isReachable: false, answeredAtMs: 8_000, latestLapseAtMs: 12_000 };
const LAPSED = { isReachable: false, answeredAtMs: 4_000, latestLapseAtMs: 9_200 };
const NEVER_HEARD = { isReachable: false, answeredAtMs: undefined, latestLapseAtMs: 6_000 };

describe('SilentTargetsLog', () => {
  it('sums up the targets with runs that are silent past their leases', () => {
    const { events, log } = watch(
      ['t1', 't2', 't3', 't3', 't4', 'gone', 'gone'],
      [
        track('t1', HEARD, true),
        track('t2', SILENT, true),
        track('t3', LAPSED, true),
        track('t4', NEVER_HEARD, false),
        track('empty', NEVER_HEARD, true),
      ],
    );
    log.check();
    expect(events.events).toEqual([
      {
        event: 'targetsSilent',
        fields: {
          partition: 4,
          term: 3,
          silentCount: 3,
          pastLeaseCount: 2,
          listedPastLeaseCount: 1,
          runCount: 3,
          longestSilenceMs: 9_000,
          longestPastLeaseMs: 4_000,
          unknownCount: 1,
          unknownRunCount: 2,
          targetIds: ['t4', 't3'],
        },
      },
    ]);
  });

  it('logs nothing while each lease with runs may still hold', () => {
    const { events, log } = watch(
      ['t1', 't2'],
      [track('t1', HEARD, true), track('t2', SILENT, true), track('empty', LAPSED, true)],
    );
    log.check();
    expect(events.events).toEqual([]);
  });

  it('logs at most once a second', () => {
    const { clock, events, log } = watch(['t1'], [track('t1', LAPSED, true)]);
    log.check();
    clock.advance(999);
    log.check();
    expect(events.events).toHaveLength(1);
    clock.advance(1);
    log.check();
    expect(events.events).toHaveLength(2);
  });
});

describe('a home', () => {
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
  });

  it('logs the runs of an earlier home on a target that it does not know', async () => {
    const earlier = await world.open();
    await earlier.submit(makeJob('a'));
    await world.waitForRunning(['a.0.0.0']);
    world.kill(earlier);
    world.entries.clear();
    const { term } = await world.open();
    await vi.waitFor(() =>
      expect(world.events.events).toContainEqual({
        event: 'targetsSilent',
        fields: expect.objectContaining({
          partition: 0,
          term,
          unknownCount: 1,
          unknownRunCount: 1,
        }),
      }),
    );
  });
});
