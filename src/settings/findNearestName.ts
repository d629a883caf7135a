const MAX_DISTANCE_FRACTION = 0.4;

/** Levenshtein distance of two names, ignoring case. */
function distanceBetween(left: string, right: string): number {
  const target = [...right.toLowerCase()];
  const firstRow = [0, ...target.map((_, index) => index + 1)];
  const lastRow = [...left.toLowerCase()].reduce<readonly number[]>((above, character) => {
    const row = [above[0]! + 1];
    target.forEach((other, index) => {
      const substitution = above[index]! + (character === other ? 0 : 1);
      row.push(Math.min(substitution, above[index + 1]! + 1, row[index]! + 1));
    });
    return row;
  }, firstRow);
  return lastRow.at(-1)!;
}

/**
 * Finds the name that was probably meant by a misspelled one.
 * @param name - The name as written.
 * @param candidates - Names that would be right.
 * @returns The nearest candidate, or undefined where none is near enough to be worth naming.
 */
export function findNearestName(name: string, candidates: readonly string[]): string | undefined {
  const [nearest] = candidates
    .map((candidate) => ({ candidate, distance: distanceBetween(name, candidate) }))
    .filter(({ candidate, distance }) => distance <= candidate.length * MAX_DISTANCE_FRACTION)
    .toSorted((left, right) => left.distance - right.distance);
  return nearest?.candidate;
}
