import { describe, expect, it, vi } from 'vitest';
import { createJobRow, type DurableJobRow } from '../../src/jobs/index.js';
import { MemoryEventLog } from '../../src/logging/index.js';
import { OrganisationRooms } from '../../src/systems/index.js';
import { UnplacedLog, type UnplacedLogOptions } from '../../src/taskHome/UnplacedLog.js';
import { ManualClock } from '../../src/utils/index.js';
import { type HomeWorld, makeEntry, makeJob, makeStep, useHomeWorld } from './HomeWorld.js';

function createLog(rows: DurableJobRow[], targets: readonly { readonly isReachable: boolean }[]) {
  const events = new MemoryEventLog();
  const clock = new ManualClock();
  const tracked = targets.map((session, index) => ({ entry: makeEntry(`t${index}`), session }));
  const log = new UnplacedLog({
    table: { listActive: () => rows },
    sessions: { listTracked: () => tracked },
    runs: { isAvoided: () => false },
    drains: { has: (targetId: string) => targetId === 't1' },
    events,
    partition: 4,
    term: 3,
    clock,
    dueClock: clock,
  } as unknown as UnplacedLogOptions);
  const listTargets = vi.fn(() =>
    tracked.map(({ entry, session }) => ({
      ...entry,
      takesTasks: session.isReachable && entry.targetId === 't0',
    })),
  );
  const noteRound = (): void =>
    log.noteRound(new OrganisationRooms(rows, () => undefined), listTargets);
  return { clock, events, listTargets, noteRound };
}

describe('UnplacedLog', () => {
  it('logs at most once a second, and looks at nothing in between', () => {
    const { clock, events, listTargets, noteRound } = createLog([createJobRow(makeJob('a'))], []);
    noteRound();
    clock.advance(999);
    noteRound();
    expect(events.events).toHaveLength(1);
    expect(listTargets).toHaveBeenCalledTimes(1);
    clock.advance(1);
    noteRound();
    expect(events.events).toHaveLength(2);
  });

  it('names the long-running task that has waited the longest, and counts targets by state', () => {
    const rows = [createJobRow(makeJob('a', [makeStep({ taskCount: 7, requiredLabel: 'ssd' })]))];
    const targets = [{ isReachable: true }, { isReachable: true }, { isReachable: false }];
    const { clock, events, noteRound } = createLog(rows, targets);
    noteRound();
    clock.advance(2_000);
    const demand = { cpuMillicores: 4_001, memoryMb: 1, gpuCount: 0 };
    rows.push(createJobRow(makeJob('b', [makeStep({ isLongRunning: true, demand })])));
    noteRound();
    clock.advance(1_500);
    noteRound();
    expect(events.events.at(-1)).toEqual({
      event: 'tasksUnplaced',
      fields: {
        partition: 4,
        term: 3,
        taskCount: 8,
        longRunningCount: 1,
        longestWaitMs: 3_500,
        taskName: 'b.0.0.0',
        pool: 'pages',
        reason: 'room',
        waitMs: 1_500,
        largestFreeCpuMillicores: 4_000,
        noTargetCount: 0,
        noneTakesTasksCount: 0,
        organisationLimitCount: 0,
        labelCount: 7,
        roomCount: 1,
        reservedCount: 0,
        spreadCount: 0,
        gangCount: 0,
        fitsCount: 0,
        targetCount: 3,
        reachableCount: 2,
        takingCount: 1,
        drainingCount: 0,
        drainedCount: 1,
        avoidedCount: 0,
        lapsedStartCount: 0,
      },
    });
  });

  it('counts the wait of a task anew after each of its runs', () => {
    const row = createJobRow(makeJob('a', [makeStep({ isLongRunning: true })]));
    const rows = [row];
    const { clock, events, noteRound } = createLog(rows, []);
    noteRound();
    clock.advance(3_000);
    rows[0] = { ...row, tasks: row.tasks.map((task) => ({ ...task, run: 1 })) };
    noteRound();
    expect(events.events.at(-1)?.fields).toMatchObject({ taskName: 'a.0.0.0', waitMs: 0 });
  });
});

describe('a home', () => {
  let world: HomeWorld;

  useHomeWorld((created) => {
    world = created;
  });

  it('logs why a task is not placed', async () => {
    const home = await world.open();
    await home.submit(makeJob('a', [makeStep({ taskCount: 8 })]));
    await vi.waitFor(() => expect(world.countEvents('taskPlaced')).toBe(8));
    await vi.waitFor(async () => {
      await home.submit(makeJob('b', [makeStep({ isLongRunning: true })]));
      const logged = world.events.events.findLast(({ event }) => event === 'tasksUnplaced');
      expect(logged?.fields).toMatchObject({
        taskName: 'b.0.0.0',
        reason: 'room',
        roomCount: 1,
        longRunningCount: 1,
        targetCount: 2,
      });
    }, 3_000);
  });
});
