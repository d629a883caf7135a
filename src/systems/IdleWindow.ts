import type { Clock } from '../utils/index.js';

/**
 * Time for which a VM must have been idle to be switched off, in milliseconds. A VM takes up to 2 s
 * to the standby pool and 2 s back, so one that was idle for less might be missing before it is
 * back, and callers would wait for it.
 */
const IDLE_OFF_AFTER_MS = 4_000;
/** Longest time between two counts of a pool that are taken as continuous, in milliseconds. */
const MAX_GAP_MS = 1_500;

interface IdleCount {
  readonly atMs: number;
  readonly count: number;
}

/**
 * Tracks how many VMs of each pool have been idle without interruption.
 *
 * A pool whose home doesn't answer, or that nobody has observed for a moment, starts anew: its VMs
 * may have been in use meanwhile. So does each pool after a change of the fleet's home.
 */
export class IdleWindow {
  private readonly clock: Clock;

  private readonly counts = new Map<string, readonly IdleCount[]>();

  /**
   * Creates a window that has observed nothing.
   * @param clock - Clock that determines the age of a count.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Records the idle VMs of the pools that were observed in a pass.
   * @param idleCounts - Number of idle VMs by pool, without the pools that did not answer.
   */
  record(idleCounts: ReadonlyMap<string, number>): void {
    const atMs = this.clock.monotonicMs();
    [...this.counts.keys()]
      .filter((pool) => !idleCounts.has(pool))
      .forEach((pool) => this.counts.delete(pool));
    idleCounts.forEach((count, pool) => {
      this.counts.set(pool, [...this.listContinued(pool, atMs), { atMs, count }]);
    });
  }

  /**
   * Records that idle VMs are being switched off.
   * @param pool - Their pool.
   * @param movedCount - Their number.
   */
  noteMoved(pool: string, movedCount: number): void {
    const counts = this.counts.get(pool) ?? [];
    this.counts.set(
      pool,
      counts.map(({ atMs, count }) => ({ atMs, count: Math.max(0, count - movedCount) })),
    );
  }

  /**
   * Gets the least number of VMs that were idle at each moment of the window.
   * @returns The numbers by pool, without the pools that were not observed for the whole window.
   */
  getLeastCounts(): ReadonlyMap<string, number> {
    const fromMs = this.clock.monotonicMs() - IDLE_OFF_AFTER_MS;
    return new Map(
      [...this.counts]
        .filter(([, counts]) => counts.length > 0 && counts[0]!.atMs <= fromMs)
        .map(([pool, counts]) => [pool, Math.min(...counts.map(({ count }) => count))]),
    );
  }

  /** Lists the counts of the window and the last one before it, if they are continuous. */
  private listContinued(pool: string, atMs: number): readonly IdleCount[] {
    const counts = this.counts.get(pool) ?? [];
    const lastAtMs = counts.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY;
    if (atMs - lastAtMs > MAX_GAP_MS) return [];
    const fromMs = atMs - IDLE_OFF_AFTER_MS;
    return counts.filter((_count, index) => (counts[index + 1]?.atMs ?? atMs) > fromMs);
  }
}
