import { groupBy } from '../utils/index.js';

/** VMs that a pool lacks for waiting work of a priority. */
export interface PriorityShortage {
  readonly pool: string;
  /** Priority of the work's queues; 0 is the highest. */
  readonly priority: number;
  readonly count: number;
}

/**
 * Share of the free VMs that all short pools get in proportion to their shortages, whatever the
 * priority of their work, so that callers of a low priority are served before their objective has
 * passed while another pool's peak lasts.
 */
const COMMON_SHARE = 0.25;

function sumCounts(shortages: readonly PriorityShortage[]): number {
  return shortages.reduce((sum, { count }) => sum + count, 0);
}

/** Splits VMs in proportion to shortages; what is left after rounding goes to the largest rest. */
function splitProportionally(
  shortages: readonly PriorityShortage[],
  vmCount: number,
): readonly number[] {
  const totalCount = sumCounts(shortages);
  const splitCount = Math.min(vmCount, totalCount);
  const exact = shortages.map(({ count }) => (count * splitCount) / Math.max(1, totalCount));
  const whole = exact.map(Math.floor);
  const leftCount = splitCount - whole.reduce((sum, count) => sum + count, 0);
  const getRest = (index: number): number => exact[index]! - whole[index]!;
  const rounded = new Set(
    [...exact.keys()].toSorted((a, b) => getRest(b) - getRest(a)).slice(0, leftCount),
  );
  return whole.map((count, index) => count + (rounded.has(index) ? 1 : 0));
}

/** Reduces shortages by the VMs that they get. */
function reduceShortages(
  shortages: readonly PriorityShortage[],
  counts: readonly number[],
): readonly PriorityShortage[] {
  return shortages.map((shortage, index) => ({
    ...shortage,
    count: shortage.count - counts[index]!,
  }));
}

/**
 * Shares free VMs among pools that lack them at the same time. A part goes to all of them in
 * proportion to their shortages, so that no pool starves; the rest goes to the highest priority
 * first, within a priority in proportion.
 *
 * This handles load peaks of several pools that overlap: if the largest shortage came first, it
 * would take all free VMs of each pass, and the work of the others would be late.
 * @param shortages - What the pools lack, by priority.
 * @param freeCount - VMs that are free.
 * @returns Number of VMs for each shortage, in the order of the shortages.
 */
export function shareVms(
  shortages: readonly PriorityShortage[],
  freeCount: number,
): readonly number[] {
  if (shortages.length === 0) return [];
  const commonCount = Math.max(
    Math.min(freeCount, new Set(shortages.map(({ pool }) => pool)).size),
    Math.floor(freeCount * COMMON_SHARE),
  );
  const common = splitProportionally(shortages, commonCount);
  const remaining = reduceShortages(shortages, common);
  const priorities = [...groupBy(remaining, ({ priority }) => priority).keys()].toSorted(
    (a, b) => a - b,
  );
  const byPriority = priorities.reduce<{
    readonly counts: readonly number[];
    readonly left: number;
  }>(
    ({ counts, left }, priority) => {
      const ofPriority = remaining.map((shortage) =>
        shortage.priority === priority ? shortage : { ...shortage, count: 0 },
      );
      const split = splitProportionally(ofPriority, left);
      return {
        counts: counts.map((count, index) => count + split[index]!),
        left: left - split.reduce((sum, count) => sum + count, 0),
      };
    },
    { counts: common, left: freeCount - common.reduce((sum, count) => sum + count, 0) },
  );
  return byPriority.counts;
}
