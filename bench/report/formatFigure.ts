/**
 * Writes a figure with about three digits.
 * @param value - The figure.
 * @returns Text for a table.
 */
export function formatFigure(value: number | undefined): string {
  if (value === undefined || Number.isNaN(value)) return '-';
  if (Number.isInteger(value)) return String(value);
  const magnitude = Math.abs(value);
  if (magnitude >= 100) return value.toFixed(0);
  return value.toFixed(magnitude >= 10 ? 1 : 3);
}
