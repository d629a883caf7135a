import type { Slope } from './Slope.js';

/**
 * Writes a slope as text, with the exponent by which the cost grows between neighbouring sizes.
 * @param slope - The slope.
 * @returns Lines for a terminal.
 */
export function printSlope(slope: Slope): readonly string[] {
  const lines = slope.points.map((point, index) => {
    const before = slope.points[index - 1];
    const exponent =
      before === undefined
        ? '-'
        : (Math.log(point.cpuUs / before.cpuUs) / Math.log(point.size / before.size)).toFixed(2);
    const cells = [
      String(point.size).padStart(8),
      `${point.cpuUs.toFixed(1)} us`.padStart(14),
      `${point.heapKb.toFixed(0)} KB`.padStart(10),
      `${point.byteCount} B`.padStart(12),
      `exponent ${exponent}`.padStart(16),
    ];
    return cells.join('');
  });
  return [`${slope.role}, by ${slope.dimension}`, ...lines, ''];
}
