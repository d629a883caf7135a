/**
 * Adds numbers.
 * @param values - The numbers.
 * @returns Their sum.
 */
export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/**
 * Reads a percentile.
 * @param values - Measured values, in any order.
 * @param percent - From 0 to 100.
 * @returns The smallest value that at least this percentage does not exceed; 0 for no values.
 */
export function percentile(values: readonly number[], percent: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.max(0, Math.ceil((percent / 100) * sorted.length) - 1)]!;
}
