import fc from 'fast-check';
import { describe, it, vi } from 'vitest';
import { describeHistory, type RunHistory, runHistory } from './histories/RunHistory.js';
import { RunHistoryWorld } from './histories/RunHistoryWorld.js';
import { shortenHistory } from './histories/shortenHistory.js';
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
/** Histories that are played at most to make a failing one shorter. */
const MAX_SHORTENED_COUNT = 400;
/** Far above the time of the histories, as none of their pauses is waited for. */
const TIMEOUT_MS = 60_000 + HISTORY_COUNT * 200;

/** Plays a history, and describes it if it breaks a rule. */
async function findViolations(history: RunHistory): Promise<string | undefined> {
  const world = new RunHistoryWorld(virtualTime);
  const violations = await world.play(history);
  if (violations.length === 0) return undefined;
  const runs = world.watch.runs.map((run) => JSON.stringify(run));
  return [...violations, describeHistory(history), ...runs].join('\n');
}

async function isFailing(history: RunHistory): Promise<boolean> {
  return (await findViolations(history)) !== undefined;
}

describe(`drawn histories of runs, seed ${SEED}`, () => {
  // Guards against a task that runs twice, begins again after its end, or never ends.
  it(
    'lets each task run one at a time, and to its end',
    async () => {
      const property = fc.asyncProperty(runHistory, async (history) => !(await isFailing(history)));
      const result = await fc.check(property, {
        seed: SEED,
        numRuns: HISTORY_COUNT,
        endOnFailure: true,
        // Short histories, which a bias prefers, rarely bring two faults together.
        unbiased: true,
        ...(PATH === undefined ? {} : { path: PATH }),
      });
      if (!result.failed) return;
      if (result.counterexample === null) throw new Error(fc.defaultReportMessage(result));
      const [drawn] = result.counterexample;
      const shortest = await shortenHistory(drawn, isFailing, MAX_SHORTENED_COUNT);
      const found = `Seed ${SEED}, path ${result.counterexamplePath}, ${drawn.length} steps drawn`;
      throw new Error(`${found}:\n${await findViolations(shortest)}`);
    },
    TIMEOUT_MS,
  );
});
