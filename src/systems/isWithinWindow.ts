import type { PoolSettings } from '../settings/index.js';

/**
 * Tells whether maintenance may start steps at a time of day.
 * @param maintenance - Window of the pool; one that ends before it starts spans midnight.
 * @param minuteOfDay - Minutes since midnight.
 * @returns Whether the minute lies in the window; a window without length is open all day.
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
