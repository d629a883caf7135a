/** Longest transfer time of an append, in seconds: well below the shortest wait for an answer. */
const MAX_APPEND_S = 0.1;
/** Maximum size of an append on any link, in bytes. */
const MAX_APPEND_BYTES = 128_000;
const BYTES_PER_MEGABIT = 125_000;

/**
 * Computes the maximum size of an append.
 * @param linkMbps - Speed of the instance's link, in megabits per second.
 * @returns The size, in bytes of record values.
 */
export function getMaxAppendBytes(linkMbps: number): number {
  return Math.min(MAX_APPEND_BYTES, Math.floor(linkMbps * BYTES_PER_MEGABIT * MAX_APPEND_S));
}
