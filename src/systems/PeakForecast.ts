import type { ExpectedPeak } from './ExpectedPeak.js';
import { BEGIN_CONFIRM_MS, PeakDetector } from './PeakDetector.js';
import type { ExpectedBegin } from './PeakRhythm.js';
import { PeakTurns, type PeakTurnsState } from './PeakTurns.js';
import type { PoolDemand } from './PoolDemand.js';
import { PoolPeakPattern, type PoolPeakPatternState } from './PoolPeakPattern.js';
import type { PoolPeak } from './PoolPeaks.js';
import type { PeakChange, SeenPeak } from './SeenPeak.js';

/** What is known of the peaks of all pools. */
export interface PeakForecastState {
  readonly turns?: PeakTurnsState;
  readonly patterns: readonly PoolPeakPatternState[];
}

/** Load of the pools in one pass. */
export interface PeakObservations {
  /** Demands of the pools that answered. */
  readonly demands: readonly PoolDemand[];
  /** Most VMs that each pool is known to use. */
  readonly knownPeaks: readonly PoolPeak[];
  /** All pools whose VMs run tasks. */
  readonly pools: readonly string[];
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
}

/** What changed in one pass. */
export type PeakForecastChange =
  | (Extract<PeakChange, { readonly type: 'began' }> & {
      /** The expectation that came true; absent if the peak was not expected. */
      readonly expected?: ExpectedPeak;
    })
  | Extract<PeakChange, { readonly type: 'ended' }>
  /** Peaks were expected, and none began. */
  | { readonly type: 'missed'; readonly pools: readonly string[] };

/** Time in which a beginning is confirmed, in milliseconds; an expectation ends no earlier. */
const CONFIRM_MS = 2 * BEGIN_CONFIRM_MS;
/** Longest time for which an expectation waits for the answer of a silent pool, in milliseconds. */
const MAX_SILENCE_MS = 5_000;
/** Time in which a load peak rises, in ms; what is ordered by the load itself arrives later. */
const RISE_MS = 3_000;

function chooseLikelier(a: ExpectedPeak | undefined, b: ExpectedPeak): ExpectedPeak {
  return a === undefined || b.confidence > a.confidence ? b : a;
}

/**
 * Forecasts load peaks that recur: by turns of the pools, and by the period of each pool alone.
 *
 * This handles pools that have their peaks one after the other, each larger than its own VMs
 * carry. A VM becomes available seconds after its order, so if only the load itself were a reason
 * for orders, each peak would begin with few VMs.
 */
export class PeakForecast {
  private readonly detectors = new Map<string, PeakDetector>();

  private readonly patterns: Map<string, PoolPeakPattern>;

  private readonly turns: PeakTurns;

  /** Expectations that have come true, until the load shows the peak. */
  private readonly rising = new Map<string, ExpectedPeak & { readonly risesUntilMs: number }>();

  private pools: readonly string[] = [];

  private knownVmCounts: ReadonlyMap<string, number> = new Map();

  /**
   * Creates a forecast.
   * @param known - What an earlier home has learned, in monotonic times of this process.
   */
  constructor(known: PeakForecastState = { patterns: [] }) {
    this.turns = new PeakTurns(known.turns);
    this.patterns = new Map(
      known.patterns.map((state) => [state.pool, new PoolPeakPattern(state.pool, state)]),
    );
  }

  /** What is known of the peaks of all pools. */
  get state(): PeakForecastState {
    return {
      turns: this.turns.state,
      patterns: [...this.patterns].map(([pool, pattern]) =>
        pattern.getStateDuring(this.getPeak(pool)),
      ),
    };
  }

  /**
   * Observes the load of the pools. A pool that has not answered keeps its state.
   * @param observations - The load.
   * @returns What changed.
   */
  observe({ demands, knownPeaks, pools, nowMs }: PeakObservations): readonly PeakForecastChange[] {
    // Without a configuration no pool is known, which does not mean that all were removed.
    if (pools.length === 0) return [];
    this.pools = pools;
    this.knownVmCounts = new Map(knownPeaks.map(({ pool, vmCount }) => [pool, vmCount]));
    this.dropRemovedPools();
    const expected = this.listExpectedPeaks(nowMs);
    const changes = demands
      .map((demand) => this.detect(demand, nowMs))
      .filter((change) => change !== undefined)
      .map((change) => this.learn(change, expected, nowMs));
    return [...changes, ...this.expire(expected, nowMs)];
  }

  /**
   * Lists the expected peaks that have not begun, or whose load still rises.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns At most one peak for each pool; none before a rhythm is known.
   */
  listExpectedPeaks(nowMs: number): readonly ExpectedPeak[] {
    const likeliest = new Map<string, ExpectedPeak>();
    [...this.listTurnPeaks(), ...this.listPeriodPeaks()]
      .filter(({ pool }) => this.getPeak(pool) === undefined)
      .forEach((peak) => likeliest.set(peak.pool, chooseLikelier(likeliest.get(peak.pool), peak)));
    return [...likeliest.values(), ...this.listRisingPeaks(nowMs)];
  }

  private getPeak(pool: string): SeenPeak | undefined {
    return this.detectors.get(pool)?.peak;
  }

  private detect(demand: PoolDemand, nowMs: number): PeakChange | undefined {
    const { pool } = demand;
    const detector = this.detectors.get(pool) ?? new PeakDetector(pool);
    this.detectors.set(pool, detector);
    return detector.observe(demand, this.knownVmCounts.get(pool) ?? 0, nowMs);
  }

  private learn(
    change: PeakChange,
    expectedPeaks: readonly ExpectedPeak[],
    nowMs: number,
  ): PeakForecastChange {
    const pattern = this.getPattern(change.peak.pool);
    if (change.type === 'ended') {
      pattern.recordEnd(change.peak, change.endedAtMs);
      return change;
    }
    const matches = [pattern.recordBegin(change.peak), this.turns.record(change.peak, this.pools)];
    const expected = expectedPeaks.find(({ pool }) => pool === change.peak.pool);
    if (expected === undefined || !matches.includes('onTime')) return change;
    this.rising.set(expected.pool, { ...expected, confidence: 1, risesUntilMs: nowMs + RISE_MS });
    return { ...change, expected };
  }

  private expire(
    expectedPeaks: readonly ExpectedPeak[],
    nowMs: number,
  ): readonly PeakForecastChange[] {
    const turnPools = this.turns.getNext(this.pools)?.pools ?? [];
    const isMissed = this.turns.expire(this.getObservedUntilMs(turnPools, nowMs)) > 0;
    const missedPools = isMissed ? turnPools : [];
    const lapsedPools = [...this.patterns]
      .filter(([pool, { rhythm }]) => rhythm.expire(this.getObservedUntilMs([pool], nowMs)) > 0)
      .map(([pool]) => pool);
    const isExpected = (pool: string): boolean => expectedPeaks.some((peak) => peak.pool === pool);
    const pools = [...new Set([...missedPools, ...lapsedPools])].filter(isExpected);
    return pools.length === 0 ? [] : [{ type: 'missed', pools }];
  }

  /** Gets the time until which a beginning in one of the pools would have been observed. */
  private getObservedUntilMs(pools: readonly string[], nowMs: number): number {
    const seenAtMs = pools.map((pool) => this.detectors.get(pool)?.seenAtMs ?? nowMs);
    return Math.max(nowMs - MAX_SILENCE_MS, Math.min(nowMs, ...seenAtMs)) - CONFIRM_MS;
  }

  private listTurnPeaks(): readonly ExpectedPeak[] {
    const turn = this.turns.getNext(this.pools);
    if (turn === undefined) return [];
    return turn.pools.flatMap((pool) => this.createPeak(pool, turn, turn.confidence));
  }

  private listPeriodPeaks(): readonly ExpectedPeak[] {
    return this.pools.flatMap((pool) => {
      const rhythm = this.patterns.get(pool)?.rhythm;
      const next = rhythm?.getNext();
      const trust = rhythm?.trust ?? 0;
      return next === undefined || trust === 0 ? [] : this.createPeak(pool, next, trust);
    });
  }

  private listRisingPeaks(nowMs: number): readonly ExpectedPeak[] {
    return [...this.rising.values()]
      .filter(({ pool, vmCount, risesUntilMs }) => {
        const peak = this.getPeak(pool);
        return peak !== undefined && peak.vmCount < vmCount && nowMs < risesUntilMs;
      })
      .map(({ risesUntilMs, ...expected }) => expected);
  }

  private createPeak(
    pool: string,
    { earliestMs, latestMs }: ExpectedBegin,
    confidence: number,
  ): readonly ExpectedPeak[] {
    const vmCount = this.getExpectedVmCount(pool);
    if (vmCount === undefined) return [];
    const endsAtMs = latestMs + this.getExpectedLengthMs(pool);
    return [{ pool, startsAtMs: earliestMs, endsAtMs, vmCount, confidence }];
  }

  /**
   * Gets the height of the peaks of a pool. A pool without an earlier peak is expected to exceed
   * the most VMs that it has used by as much as others did, since operators allot VMs by load.
   */
  private getExpectedVmCount(pool: string): number | undefined {
    const known = this.patterns.get(pool)?.state.vmCount;
    if (known !== undefined) return Math.ceil(known);
    const usedVmCount = this.knownVmCounts.get(pool);
    if (usedVmCount === undefined) return undefined;
    const factors = this.listGrowthFactors();
    const sum = factors.reduce((total, factor) => total + factor, 0);
    return Math.ceil(usedVmCount * Math.max(1, sum / Math.max(1, factors.length)));
  }

  private listGrowthFactors(): readonly number[] {
    const ended = [...this.patterns.values()]
      .map(({ state }) => state.growthFactor)
      .filter((factor) => factor !== undefined);
    if (ended.length > 0) return ended;
    return [...this.detectors.values()]
      .map(({ peak }) => peak)
      .filter((peak) => peak !== undefined)
      .filter(({ isBeginSeen }) => isBeginSeen)
      .map(({ vmCount, formerVmCount }) => vmCount / Math.max(1, formerVmCount));
  }

  private getExpectedLengthMs(pool: string): number {
    const known = this.patterns.get(pool)?.state.lengthMs;
    if (known !== undefined) return known;
    const lengthsMs = [...this.patterns.values()]
      .map(({ state }) => state.lengthMs)
      .filter((lengthMs) => lengthMs !== undefined);
    if (lengthsMs.length > 0) return Math.max(...lengthsMs);
    return this.turns.state.rhythm.intervalsMs.at(-1) ?? 0;
  }

  private getPattern(pool: string): PoolPeakPattern {
    const pattern = this.patterns.get(pool) ?? new PoolPeakPattern(pool);
    this.patterns.set(pool, pattern);
    return pattern;
  }

  private dropRemovedPools(): void {
    const isRemoved = (pool: string): boolean => !this.pools.includes(pool);
    [...this.detectors.keys()].filter(isRemoved).forEach((pool) => this.detectors.delete(pool));
    [...this.patterns.keys()].filter(isRemoved).forEach((pool) => this.patterns.delete(pool));
    [...this.rising.keys()].filter(isRemoved).forEach((pool) => this.rising.delete(pool));
  }
}
