import fc from 'fast-check';
import { describe, it, vi } from 'vitest';
import { type ServiceHistory, serviceHistory } from './histories/ServiceHistory.js';
import { ServiceHistoryWorld } from './histories/ServiceHistoryWorld.js';
import { virtualTime } from './histories/VirtualTime.js';

vi.mock('node:timers/promises', async () => {
  const { virtualTime: time } = await import('./histories/VirtualTime.js');
  return { setTimeout: time.sleep.bind(time) };
});

/** By hand: `SERVICE_HISTORIES=5000 SERVICE_HISTORIES_SEED=1 npx vitest run tests/taskHome/ser`. */
const HISTORY_COUNT = Number(process.env.SERVICE_HISTORIES ?? 150);
const SEED = Number(process.env.SERVICE_HISTORIES_SEED ?? 1);
/** Far above the time of the histories, as none of their pauses is waited for. */
const TIMEOUT_MS = 60_000 + HISTORY_COUNT * 400;

/** Plays a history, and describes it if it breaks the rule. */
async function findViolations(history: ServiceHistory): Promise<string | undefined> {
  const world = new ServiceHistoryWorld(virtualTime);
  const violations = await world.play(history);
  if (violations.length === 0) return undefined;
  const runs = world.watch.runs.map((run) => JSON.stringify(run));
  return [...violations, JSON.stringify(history), ...runs].join('\n');
}

describe(`drawn histories of a service, seed ${SEED}`, () => {
  // Guards against homes that are paused, or are replaced, and then stop a task too many.
  it(
    'has no more tasks of a step stopped than may be away',
    async () => {
      const property = fc.asyncProperty(
        serviceHistory,
        async (history) => (await findViolations(history)) === undefined,
      );
      const settings = { seed: SEED, numRuns: HISTORY_COUNT, unbiased: true };
      const result = await fc.check(property, settings);
      if (!result.failed) return;
      if (result.counterexample === null) throw new Error(fc.defaultReportMessage(result));
      const found = `Seed ${SEED}, path ${result.counterexamplePath}, ${result.numRuns} runs`;
      throw new Error(`${found}:\n${await findViolations(result.counterexample[0])}`);
    },
    TIMEOUT_MS,
  );
});
