import { MIN_RESERVE_COUNT } from './PoolBalance.js';
import type { PoolDemand } from './PoolDemand.js';
import type { PeakChange, SeenPeak } from './SeenPeak.js';

/** Share of the most VMs that a pool is known to use at which a peak begins. */
const BEGIN_SHARE = 0.4;
/** Ratio to the calm load above which a load counts as a peak. */
const BEGIN_FACTOR = 2;
/** Share of the load of a beginning from which on a load may be rising to a peak. */
const RISE_SHARE = 0.5;
/** Longest rise that belongs to a peak, in milliseconds. */
const MAX_RISE_MS = 3_000;
/** Share of the load of a beginning below which a peak ends. */
const END_SHARE = 0.6;
/** Time that a load must last to begin a peak, in milliseconds: two passes. */
export const BEGIN_CONFIRM_MS = 400;
/** Time that a low load must last to end a peak, in ms: a crash or a new home lowers it briefly. */
const END_CONFIRM_MS = 1_000;
/** Half-life of the calm load between peaks, in ms: orders keep up with load that rises slower. */
const CALM_HALF_LIFE_MS = 5_000;
/** Half-life of the calm load in a peak, in ms, after which a lasting load is no peak any more. */
const PEAK_HALF_LIFE_MS = 300_000;
/** Part of the need that counts: forecasts of a rising load assume that it doubles. */
const NEED_SHARE = 0.5;

/** Observed load of a pool. */
interface Observation {
  /** Load that begins and ends peaks, in VMs. */
  readonly vmCount: number;
  /** Part of the load that is served, in VMs. */
  readonly usedVmCount: number;
  readonly atMs: number;
  /** Load at which a peak begins, in VMs. */
  readonly thresholdVmCount: number;
}

function sumUsedMillicores({ targets }: PoolDemand): number {
  return targets.reduce((sum, { usedCpuMillicores }) => sum + usedCpuMillicores, 0);
}

/**
 * Detects the load peaks of one pool.
 *
 * The load counts in VMs: what is used and waits, or half of the need if this is more, since a pool
 * with few VMs can't use many. A peak begins at two fifths of the most VMs known of the pool,
 * if this is twice its calm load. Steady load has no peak, however high it is.
 */
export class PeakDetector {
  /** CPU of one VM when the pool last had a target, in thousandths of a core. */
  private vmMillicores: number | undefined;

  private calmVmCount: number | undefined;

  private lastSeenAtMs = Number.NEGATIVE_INFINITY;

  /** Monotonic time since which the load contradicts the state, in milliseconds. */
  private changingSinceMs: number | undefined;

  /** Monotonic time since which the load may be rising to a peak, in milliseconds. */
  private risingSinceMs: number | undefined;

  private current: SeenPeak | undefined;

  private readonly pool: string;

  /**
   * Creates a detector that has observed nothing.
   * @param pool - Name of the pool.
   */
  constructor(pool: string) {
    this.pool = pool;
  }

  /** Monotonic time of the latest observation, in milliseconds; -Infinity before the first. */
  get seenAtMs(): number {
    return this.lastSeenAtMs;
  }

  /** The peak in progress. */
  get peak(): SeenPeak | undefined {
    return this.current;
  }

  /**
   * Observes the load of the pool.
   * @param demand - Load and demand of the pool.
   * @param knownVmCount - Most VMs that the pool is known to use.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The change that this observation has confirmed, if any.
   */
  observe(demand: PoolDemand, knownVmCount: number, nowMs: number): PeakChange | undefined {
    this.vmMillicores = demand.targets[0]?.cpuMillicores ?? this.vmMillicores;
    // Without a pool's usual size, any load of a new pool would count as a peak.
    if (this.vmMillicores === undefined || knownVmCount === 0) return undefined;
    const usedMillicores = sumUsedMillicores(demand);
    const loadMillicores = Math.max(
      usedMillicores + demand.waitingCpuMillicores,
      demand.neededCpuMillicores * NEED_SHARE,
    );
    const vmCount = loadMillicores / Math.max(1, this.vmMillicores);
    const usedVmCount = usedMillicores / Math.max(1, this.vmMillicores);
    const leastVmCount = Math.max(MIN_RESERVE_COUNT, knownVmCount * BEGIN_SHARE);
    const isFirst = this.calmVmCount === undefined;
    this.updateCalm(vmCount, leastVmCount, nowMs);
    const thresholdVmCount = Math.max(leastVmCount, this.calmVmCount! * BEGIN_FACTOR);
    const observation = { vmCount, usedVmCount, atMs: nowMs, thresholdVmCount };
    const change = this.compare(observation, knownVmCount, isFirst);
    this.lastSeenAtMs = nowMs;
    return change;
  }

  private updateCalm(vmCount: number, leastVmCount: number, nowMs: number): void {
    const halfLifeMs = this.current === undefined ? CALM_HALF_LIFE_MS : PEAK_HALF_LIFE_MS;
    const kept = 0.5 ** ((nowMs - this.lastSeenAtMs) / halfLifeMs);
    // The first observation may lie in a peak, so it counts as calm only up to half of a beginning.
    const formerVmCount = this.calmVmCount ?? Math.min(vmCount, leastVmCount / BEGIN_FACTOR);
    const keptShare = this.calmVmCount === undefined ? 1 : kept;
    this.calmVmCount = formerVmCount * keptShare + vmCount * (1 - keptShare);
  }

  private compare(
    observation: Observation,
    knownVmCount: number,
    isFirst: boolean,
  ): PeakChange | undefined {
    if (this.current === undefined) return this.awaitBegin(observation, knownVmCount, isFirst);
    const vmCount = Math.max(this.current.vmCount, observation.usedVmCount);
    this.current = { ...this.current, vmCount };
    return this.awaitEnd(this.current, observation);
  }

  private awaitBegin(
    { vmCount, usedVmCount, atMs, thresholdVmCount }: Observation,
    knownVmCount: number,
    isFirst: boolean,
  ): PeakChange | undefined {
    // The load rose between two observations.
    const roseAtMs = isFirst ? Number.NEGATIVE_INFINITY : (this.lastSeenAtMs + atMs) / 2;
    this.risingSinceMs =
      vmCount < thresholdVmCount * RISE_SHARE ? undefined : (this.risingSinceMs ?? roseAtMs);
    this.changingSinceMs =
      vmCount < thresholdVmCount ? undefined : (this.changingSinceMs ?? roseAtMs);
    if (this.changingSinceMs === undefined) return undefined;
    if (atMs - this.changingSinceMs < BEGIN_CONFIRM_MS) return undefined;
    const isBeginSeen = Number.isFinite(this.changingSinceMs);
    const earliestMs = this.changingSinceMs - MAX_RISE_MS;
    const risingSinceMs = this.risingSinceMs ?? this.changingSinceMs;
    this.current = {
      pool: this.pool,
      beganAtMs: isBeginSeen ? Math.max(earliestMs, risingSinceMs) : atMs,
      isBeginSeen,
      vmCount: usedVmCount,
      formerVmCount: knownVmCount,
    };
    this.changingSinceMs = undefined;
    this.risingSinceMs = undefined;
    return { type: 'began', peak: this.current };
  }

  private awaitEnd(
    peak: SeenPeak,
    { vmCount, atMs, thresholdVmCount }: Observation,
  ): PeakChange | undefined {
    if (vmCount >= thresholdVmCount * END_SHARE) {
      this.changingSinceMs = undefined;
      return undefined;
    }
    this.changingSinceMs ??= atMs;
    if (atMs - this.changingSinceMs < END_CONFIRM_MS) return undefined;
    const endedAtMs = this.changingSinceMs;
    this.current = undefined;
    this.changingSinceMs = undefined;
    return { type: 'ended', peak, endedAtMs };
  }
}
