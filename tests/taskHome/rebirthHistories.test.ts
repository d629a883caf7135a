import { describe, it, vi } from 'vitest';
import { findFailure } from './histories/findFailure.js';
import {
  describeHistory,
  listShorterHistories,
  rebirthHistory,
  type RunHistory,
} from './histories/RunHistory.js';
import { RunHistoryWorld } from './histories/RunHistoryWorld.js';
import { virtualTime } from './histories/VirtualTime.js';

vi.mock('node:timers/promises', async () => {
  const { virtualTime: time } = await import('./histories/VirtualTime.js');
  return { setTimeout: time.sleep.bind(time) };
});

/** By hand more, with another `REBIRTH_HISTORIES_SEED`. */
const HISTORY_COUNT = Number(process.env.REBIRTH_HISTORIES ?? 300);
const SEED = Number(process.env.REBIRTH_HISTORIES_SEED ?? 20_261);
/** Path of a failure that was printed; with its seed, that history is played first. */
const PATH = process.env.REBIRTH_HISTORIES_PATH;
/** Far above the time of the histories, as none of their pauses is waited for. */
const TIMEOUT_MS = 60_000 + HISTORY_COUNT * 200;

/** Plays a history, and describes it if it breaks a rule. */
async function findViolations(history: RunHistory): Promise<string | undefined> {
  const world = new RunHistoryWorld(virtualTime, true);
  const violations = await world.play(history);
  if (violations.length === 0) return undefined;
  const runs = world.watch.runs.map((run) => JSON.stringify(run));
  return [...violations, describeHistory(history), ...runs].join('\n');
}

describe(`drawn histories of targets that start again, seed ${SEED}`, () => {
  // Guards against work that is done and runs again, as its target started again under its id.
  it(
    'lets each task run one at a time, and to its end',
    async () => {
      const failure = await findFailure({
        arbitrary: rebirthHistory,
        seed: SEED,
        path: PATH,
        historyCount: HISTORY_COUNT,
        findViolations,
        listShorter: listShorterHistories,
      });
      if (failure !== undefined) throw new Error(failure);
    },
    TIMEOUT_MS,
  );
});
