import type { BenchColumn } from './BenchTable.js';

/**
 * Compares a figure with the best that is possible.
 * @param column - The figure's column with its bound.
 * @param value - The figure.
 * @returns How many times worse it is, 1 for the best; undefined without a bound above 0.
 */
export function ratioToBound(column: BenchColumn, value: number): number | undefined {
  const { bound, better } = column;
  if (bound === undefined || bound === 0) return undefined;
  return better === 'lower' ? value / bound : bound / value;
}
