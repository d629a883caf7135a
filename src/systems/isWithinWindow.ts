import type { PoolSettings } from '../settings/index.js';

/**
 * Tells whether a time of day lies in a pool's maintenance window.
 * @param maintenance - Window of the pool; one that ends before it starts spans midnight.
 * @param minuteOfDay - Minutes since midnight.
 * @returns Whether steps may start; a window of length zero is open all day.
 */
export function isWithinWindow(
  maintenance: PoolSettings['maintenance'],
  minuteOfDay: number,
): boolean {
  const { windowStartMinuteOfDay: start, windowEndMinuteOfDay: end } = maintenance;
  if (start === end) return true;
  if (start < end) return minuteOfDay >= start && minuteOfDay < end;
  return minuteOfDay >= start || minuteOfDay < end;
}
