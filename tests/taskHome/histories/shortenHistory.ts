import type { HistoryStep, RunHistory } from './RunHistory.js';

/** Lists simpler forms of a step, the simplest first. */
function simplify(step: HistoryStep): readonly HistoryStep[] {
  switch (step.type) {
    case 'submit':
      return [{ ...step, job: { ...step.job, shape: 'one-task', failureCount: 0 } }];
    case 'fates':
      return step.fates.length === 1
        ? []
        : step.fates.map((_fate, place) => ({ ...step, fates: step.fates.toSpliced(place, 1) }));
    case 'replace-home':
      return [{ ...step, earlier: 'killed' }];
    default:
      return [];
  }
}

/** Lists histories that are shorter or simpler by one change, from the last step to the first. */
function listShorter(history: RunHistory): readonly RunHistory[] {
  const places = history.map((_step, place) => place).toReversed();
  return [
    ...places.map((place) => history.toSpliced(place, 1)),
    ...places.flatMap((place) =>
      simplify(history[place]!).map((step) => history.with(place, step)),
    ),
  ].filter((shorter) => JSON.stringify(shorter) !== JSON.stringify(history));
}

/**
 * Leaves out of a failing history what it does not need to fail, one change at a time.
 * @param history - The history.
 * @param fails - Tells whether a history fails.
 * @param maxPlayCount - Most histories to play.
 * @returns The shortest failing history that was found.
 */
export async function shortenHistory(
  history: RunHistory,
  fails: (shorter: RunHistory) => Promise<boolean>,
  maxPlayCount: number,
): Promise<RunHistory> {
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
