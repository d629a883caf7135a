import { describe, it, vi } from 'vitest';
import { findFailure } from './histories/findFailure.js';
import {
  dealHistory,
  describeHistory,
  gangHistory,
  listShorterHistories,
  rebirthHistory,
  type RunHistory,
  runHistory,
} from './histories/RunHistory.js';
import { RunHistoryWorld } from './histories/RunHistoryWorld.js';
import { virtualTime } from './histories/VirtualTime.js';

vi.mock('node:timers/promises', async () => {
  const { virtualTime: time } = await import('./histories/VirtualTime.js');
  return { setTimeout: time.sleep.bind(time) };
});

/** By hand: `RUN_HISTORIES=5000 RUN_HISTORIES_SEED=1 npx vitest run tests/taskHome/runHist`. */
const HISTORY_COUNT = Number(process.env.RUN_HISTORIES ?? 600);
const SEED = Number(process.env.RUN_HISTORIES_SEED ?? 20_261);
/** Path of a failure that was printed; with its seed, that history is played first. */
const PATH = process.env.RUN_HISTORIES_PATH;
/** Far above the time of the histories, as none of their pauses is waited for. */
const TIMEOUT_MS = 60_000 + HISTORY_COUNT * 200;

/** The slowest clock that the platform allows, and one without an error. */
const SLOW_CLOCKS = [0.98, 1] as const;

type HistoryTargetTraits = ConstructorParameters<typeof RunHistoryWorld>[1];

/** Plays a history, and describes it if it breaks a rule. */
async function findViolations(
  history: RunHistory,
  targets: HistoryTargetTraits,
): Promise<string | undefined> {
  const world = new RunHistoryWorld(virtualTime, targets);
  const violations = await world.play(history);
  if (violations.length === 0) return undefined;
  const runs = world.watch.runs.map((run) => JSON.stringify(run));
  return [...violations, describeHistory(history), ...runs].join('\n');
}

async function expectNoViolations(
  arbitrary: typeof runHistory,
  targets: HistoryTargetTraits = {},
): Promise<void> {
  const failure = await findFailure({
    arbitrary,
    seed: SEED,
    path: PATH,
    historyCount: HISTORY_COUNT,
    findViolations: (history) => findViolations(history, targets),
    listShorter: listShorterHistories,
  });
  if (failure !== undefined) throw new Error(failure);
}

describe(`drawn histories of runs, seed ${SEED}`, () => {
  // Guards against a task that runs twice, begins again after its end, or never ends.
  it(
    'lets each task run one at a time, and to its end',
    () => expectNoViolations(runHistory),
    TIMEOUT_MS,
  );

  // Guards against work that is done and runs again, as its target started again under its id.
  it(
    'does so while targets start again under their ids',
    () => expectNoViolations(rebirthHistory, { haveStarts: true }),
    TIMEOUT_MS,
  );

  // Guards against a gang that is given up too early or too late, as several members fail at once.
  it('does so while gangs fail as one', () => expectNoViolations(gangHistory), TIMEOUT_MS);

  // Guards against a second run beside one that a home goes on extending which has been replaced.
  it(
    'does so while partitions are given on with a home and a target cut off',
    () => expectNoViolations(dealHistory, { clockRates: SLOW_CLOCKS }),
    TIMEOUT_MS,
  );
});
