/** Input of {@link shortenHistory}. */
export interface ShortenHistoryInput<History> {
  readonly history: History;
  /** Lists histories that are shorter or simpler by one change, those to try first at the front. */
  readonly listShorter: (history: History) => readonly History[];
  /** Tells whether a history fails. */
  readonly fails: (shorter: History) => Promise<boolean>;
  readonly maxPlayCount: number;
}

/**
 * Lists sequences of steps that are shorter or simpler by one change, from the last step to the
 * first.
 * @param steps - The steps.
 * @param simplify - Lists simpler forms of a step, the simplest first.
 * @returns The sequences.
 */
export function listShorterSteps<Step>(
  steps: readonly Step[],
  simplify: (step: Step) => readonly Step[],
): readonly (readonly Step[])[] {
  const places = steps.map((_step, place) => place).toReversed();
  return [
    ...places.map((place) => steps.toSpliced(place, 1)),
    ...places.flatMap((place) => simplify(steps[place]!).map((step) => steps.with(place, step))),
  ].filter((shorter) => JSON.stringify(shorter) !== JSON.stringify(steps));
}

/**
 * Leaves out of a failing history what it does not need to fail, one change at a time.
 * @param input - The history, and how to make it shorter.
 * @returns The shortest failing history that was found.
 */
export async function shortenHistory<History>(
  input: ShortenHistoryInput<History>,
): Promise<History> {
  const { history, listShorter, fails, maxPlayCount } = input;
  let shortest = history;
  let candidates = listShorter(shortest);
  for (let count = 0; count < maxPlayCount && candidates.length > 0; count += 1) {
    const [next, ...others] = candidates;
    // eslint-disable-next-line no-await-in-loop -- the next candidate depends on this one
    const isFailing = await fails(next!);
    if (isFailing) shortest = next!;
    candidates = isFailing ? listShorter(shortest) : others;
  }
  return shortest;
}
