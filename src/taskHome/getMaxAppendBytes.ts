/** Longest time that an append takes on its link, in seconds: well within the shortest wait. */
const MAX_APPEND_S = 0.1;
/** Most bytes of an append on any link. */
const MAX_APPEND_BYTES = 128_000;
const BYTES_PER_MEGABIT = 125_000;

/**
 * Computes how large an append may be.
 * @param linkMbps - Speed of the instance's link, in megabits a second.
 * @returns Most bytes, in values.
 */
export function getMaxAppendBytes(linkMbps: number): number {
  return Math.min(MAX_APPEND_BYTES, Math.floor(linkMbps * BYTES_PER_MEGABIT * MAX_APPEND_S));
}
