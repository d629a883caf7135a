/**
 * Moves a mean towards a new value, so that it follows the latest ones.
 * @param mean - The mean so far.
 * @param value - The new value, in the unit of the mean.
 * @param weight - Share of the way from the mean to the value, from 0 to 1.
 * @returns The new mean.
 */
export function followMean(mean: number, value: number, weight: number): number {
  return mean + weight * (value - mean);
}
