/**
 * Finds the median of some numbers, and the lower of the middle two if their count is even.
 * @param values - The numbers, in any order.
 * @returns The median; undefined if there is no number.
 */
export function findLowerMedian(values: readonly number[]): number | undefined {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
