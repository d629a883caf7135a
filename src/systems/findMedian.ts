/**
 * Finds the middle value of some numbers, the lower one of two.
 * @param values - The numbers, in any order.
 * @returns The median; undefined if there is no number.
 */
export function findMedian(values: readonly number[]): number | undefined {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
