/**
 * Computes a quantile by the nearest-rank method.
 * @param values - At least one value, in any order.
 * @param fraction - The quantile, from 0 to 1.
 * @returns The smallest value that at least this fraction of the values does not exceed.
 */
export function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const rank = Math.ceil(fraction * sorted.length) - 1;
  return sorted[Math.min(sorted.length - 1, Math.max(0, rank))]!;
}
