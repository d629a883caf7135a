import { describe, expect, it, vi } from 'vitest';
import { findFailure } from './histories/findFailure.js';
import {
  describeLostTaskHistory,
  drawLostTaskHistories,
  type EarlierHome,
  listShorterLostTaskHistories,
  type LostTaskHistory,
} from './histories/LostTaskHistory.js';
import { LostTaskHistoryWorld } from './histories/LostTaskHistoryWorld.js';
import { virtualTime } from './histories/VirtualTime.js';

vi.mock('node:timers/promises', async () => {
  const { virtualTime: time } = await import('./histories/VirtualTime.js');
  return { setTimeout: time.sleep.bind(time) };
});

/** By hand: `LOST_HISTORIES=5000 LOST_HISTORIES_SEED=1 npx vitest run tests/taskHome/lostTask`. */
const HISTORY_COUNT = Number(process.env.LOST_HISTORIES ?? 100);
const SEED = Number(process.env.LOST_HISTORIES_SEED ?? 1);
/** Path of a failure that was printed; with its seed, that history is played first. */
const PATH = process.env.LOST_HISTORIES_PATH;
/** Far above the time of the histories, as none of their pauses is waited for. */
const TIMEOUT_MS = 60_000 + HISTORY_COUNT * 400;

/** A home gives up the runs on an unlisted target, and is killed before it has stored that. */
const KILLED_AT_LAPSE: LostTaskHistory = {
  maxTasksPerTarget: 4,
  jobs: [],
  steps: [
    { type: 'unlist', target: 0 },
    { type: 'replace-home', earlier: 'killed', readMs: 0 },
    { type: 'wait', forMs: 2_000 },
    { type: 'replace-home', earlier: 'killed', readMs: 3_000 },
  ],
  calmChangesAfterMs: [1_000, 1_500],
};

/** The last home but one reads its jobs, and lives too shortly to hear what each target answers. */
const SHORT_LIVED_HOME: LostTaskHistory = {
  maxTasksPerTarget: 2,
  jobs: [],
  steps: [
    { type: 'silence', targets: [0], how: 'crashed', forMs: undefined, entry: { type: 'stays' } },
  ],
  calmChangesAfterMs: [1_000, 1_500, 500],
};

/** Plays a history, and describes it if it breaks a rule. */
async function findViolations(history: LostTaskHistory): Promise<string | undefined> {
  const world = new LostTaskHistoryWorld(virtualTime);
  const violations = await world.play(history);
  if (violations.length === 0) return undefined;
  const runs = world.watch.runs.map((run) => JSON.stringify(run));
  return [...violations, describeLostTaskHistory(history), ...runs].join('\n');
}

/** Plays drawn histories, and throws the shortest form of one that breaks a rule. */
async function play(earlierHomes: readonly EarlierHome[]): Promise<void> {
  const failure = await findFailure({
    arbitrary: drawLostTaskHistories(earlierHomes),
    seed: SEED,
    path: PATH,
    historyCount: HISTORY_COUNT,
    findViolations,
    listShorter: listShorterLostTaskHistories,
  });
  if (failure !== undefined) throw new Error(failure);
}

describe(`drawn histories of silent targets and of homes that change, seed ${SEED}`, () => {
  // Guards against a task that stays down with room beside it, and one that runs twice.
  it(
    'lets each task run again within the bound once all is calm, and one at a time',
    () => play(['killed', 'closes']),
    TIMEOUT_MS,
  );

  // Guards against the same where a home that was replaced renews leases on.
  it(
    'does so too while replaced homes go on',
    () => play(['killed', 'goes-on', 'frozen']),
    TIMEOUT_MS,
  );

  // Guards against a next home that waits anew for a lease that its predecessor knew as lapsed.
  it('lets a task run again in time whose home is killed as it gives the run up', async () => {
    expect(await findViolations(KILLED_AT_LAPSE)).toBeUndefined();
  });

  // Guards against a next home that waits anew, as the one before lived for a moment alone.
  it('lets a task run again in time though one of its homes lives for half a second', async () => {
    expect(await findViolations(SHORT_LIVED_HOME)).toBeUndefined();
  });
});
