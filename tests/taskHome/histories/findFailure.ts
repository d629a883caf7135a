import fc from 'fast-check';
import { shortenHistory, type ShortenHistoryInput } from './shortenHistory.js';

/** Input of {@link findFailure}. */
export interface FindFailureInput<History> {
  readonly arbitrary: fc.Arbitrary<History>;
  readonly seed: number;
  /** Path of a failure that was printed; with its seed, that history is played first. */
  readonly path: string | undefined;
  readonly historyCount: number;
  /** Plays a history, and describes it if it breaks a rule. */
  readonly findViolations: (history: History) => Promise<string | undefined>;
  readonly listShorter: ShortenHistoryInput<History>['listShorter'];
}

/** Histories that are played at most to make a failing one shorter. */
const MAX_SHORTENED_COUNT = 400;

/**
 * Plays drawn histories until one breaks a rule.
 * @param input - The histories, and how to play them.
 * @returns The shortest form of that history that was found, undefined if none breaks a rule.
 */
export async function findFailure<History>(
  input: FindFailureInput<History>,
): Promise<string | undefined> {
  const { arbitrary, seed, path, historyCount, findViolations, listShorter } = input;
  const fails = async (history: History): Promise<boolean> =>
    (await findViolations(history)) !== undefined;
  const property = fc.asyncProperty(arbitrary, async (history) => !(await fails(history)));
  const result = await fc.check(property, {
    seed,
    numRuns: historyCount,
    endOnFailure: true,
    // Short histories, which a bias prefers, rarely bring two faults together.
    unbiased: true,
    ...(path === undefined ? {} : { path }),
  });
  if (!result.failed) return undefined;
  if (result.counterexample === null) return fc.defaultReportMessage(result);
  const maxPlayCount = MAX_SHORTENED_COUNT;
  const [history] = result.counterexample;
  const shortest = await shortenHistory({ history, listShorter, fails, maxPlayCount });
  const found = `Seed ${seed}, path ${result.counterexamplePath}`;
  return `${found}:\n${await findViolations(shortest)}`;
}
