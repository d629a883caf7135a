import type { ExpectedPeak, PoolDemand } from '../../../src/systems/index.js';
import { createDraw } from './createDraw.js';
import { CALM_JOBS_PER_S, PEAK_JOBS_PER_S, PlayedPool } from './PlayedPool.js';

/** A load peak that is played. */
export interface PlayedPeak {
  readonly pool: string;
  readonly startsAtMs: number;
  readonly lengthMs: number;
}

/** A forecast of peaks that a play can ask. */
export interface PlayedForecast {
  observe(demands: readonly PoolDemand[], nowMs: number): void;
  listExpectedPeaks(nowMs: number): readonly ExpectedPeak[];
}

/** What a forecast made of a play. */
export interface PeakPlayResult {
  /** Whether each played peak was expected early enough to order VMs, in order. */
  readonly foreseen: readonly boolean[];
  /** Time for which VMs were kept in vain, weighted by confidence, over all pools, in ms. */
  readonly keptInVainMs: number;
  /** Longest time for which a pool kept VMs in vain without a break, in milliseconds. */
  readonly longestInVainMs: number;
}

/** Options of {@link playPeaks}. */
export interface PeakPlayOptions {
  readonly seed: number;
  readonly pools: readonly string[];
  readonly peaks: readonly PlayedPeak[];
  readonly endsAtMs: number;
  /** Factor of the arrivals of a pool out of its peaks. */
  readonly calmFactor?: number;
  /** Replaces the forecast at a time, as a takeover does. */
  readonly takeover?: { readonly atMs: number; readonly create: () => PlayedForecast };
}

interface PlayedPass {
  readonly nowMs: number;
  readonly tookMs: number;
}

/** Time before a peak at which VMs for it have to be ordered, in milliseconds. */
const ORDER_AHEAD_MS = 2_500;
/** Time before an expected beginning from which VMs are kept for it, in milliseconds. */
const KEEP_AHEAD_MS = 3_500;
/** Passes take 0.2 to 0.5 s. */
const MIN_PASS_MS = 200;
const PASS_SPREAD_MS = 300;
/** Share of the passes in which a pool does not answer. */
const SILENT_SHARE = 0.05;

function listPasses(endsAtMs: number, draw: () => number): readonly PlayedPass[] {
  const passes: PlayedPass[] = [];
  let nowMs = 0;
  while (nowMs < endsAtMs) {
    const tookMs = MIN_PASS_MS + Math.floor(draw() * PASS_SPREAD_MS);
    nowMs += tookMs;
    passes.push({ nowMs, tookMs });
  }
  return passes;
}

function isInPeak(peaks: readonly PlayedPeak[], pool: string, atMs: number): boolean {
  return peaks.some(
    (peak) =>
      peak.pool === pool && atMs >= peak.startsAtMs && atMs < peak.startsAtMs + peak.lengthMs,
  );
}

/** Keeps account of what a forecast is good for. */
class PeakAccount {
  readonly foreseen: boolean[];

  keptInVainMs = 0;

  longestInVainMs = 0;

  private readonly peaks: readonly PlayedPeak[];

  private readonly inVainMs = new Map<string, number>();

  constructor(peaks: readonly PlayedPeak[]) {
    this.peaks = peaks;
    this.foreseen = peaks.map(() => false);
  }

  add(expected: readonly ExpectedPeak[], { nowMs, tookMs }: PlayedPass): void {
    this.peaks.forEach(({ pool, startsAtMs }, index) => {
      const aheadMs = startsAtMs - nowMs;
      if (aheadMs < ORDER_AHEAD_MS || aheadMs > KEEP_AHEAD_MS) return;
      this.foreseen[index] = expected.some(
        (peak) => peak.pool === pool && peak.startsAtMs <= startsAtMs,
      );
    });
    const inVain = expected.filter(
      ({ pool, startsAtMs }) =>
        startsAtMs - KEEP_AHEAD_MS <= nowMs &&
        !isInPeak(this.peaks, pool, nowMs) &&
        !isInPeak(this.peaks, pool, nowMs + KEEP_AHEAD_MS),
    );
    const pools = new Set(inVain.map(({ pool }) => pool));
    [...this.inVainMs.keys()]
      .filter((pool) => !pools.has(pool))
      .forEach((pool) => this.inVainMs.delete(pool));
    inVain.forEach(({ pool, confidence }) => {
      const lastedMs = (this.inVainMs.get(pool) ?? 0) + tookMs;
      this.inVainMs.set(pool, lastedMs);
      this.longestInVainMs = Math.max(this.longestInVainMs, lastedMs);
      this.keptInVainMs += confidence * tookMs;
    });
  }
}

/**
 * Plays load peaks to a forecast, in passes of irregular length.
 * @param first - The forecast.
 * @param options - The load.
 * @returns What the forecast made of it.
 */
export function playPeaks(first: PlayedForecast, options: PeakPlayOptions): PeakPlayResult {
  const { pools, peaks, endsAtMs, calmFactor = 1, takeover } = options;
  const draw = createDraw(options.seed);
  const played = pools.map((pool) => new PlayedPool(pool, draw));
  const account = new PeakAccount(peaks);
  const passes = listPasses(endsAtMs, draw);
  const takeoverAtMs = takeover?.atMs ?? Number.POSITIVE_INFINITY;
  const play = (forecast: PlayedForecast, pass: PlayedPass): void => {
    const { nowMs, tookMs } = pass;
    const demands = played
      .map((pool) => {
        const isPeak = isInPeak(peaks, pool.pool, nowMs);
        return pool.play(isPeak ? PEAK_JOBS_PER_S : CALM_JOBS_PER_S * calmFactor, nowMs, tookMs);
      })
      .filter(() => draw() >= SILENT_SHARE);
    forecast.observe(demands, nowMs);
    account.add(forecast.listExpectedPeaks(nowMs), pass);
  };
  passes.filter(({ nowMs }) => nowMs < takeoverAtMs).forEach((pass) => play(first, pass));
  const next = takeover?.create() ?? first;
  passes.filter(({ nowMs }) => nowMs >= takeoverAtMs).forEach((pass) => play(next, pass));
  const { foreseen, keptInVainMs, longestInVainMs } = account;
  return { foreseen, keptInVainMs, longestInVainMs };
}

/** Turns of pools whose beginnings vary by a share of the interval. */
export interface PlayedTurns {
  readonly pools: readonly string[];
  readonly turnCount: number;
  readonly intervalMs: number;
  readonly variationShare: number;
  readonly seed: number;
}

/** Monotonic time of the first turn, in milliseconds. */
const FIRST_TURN_AT_MS = 8_000;

/**
 * Creates turns of pools.
 * @param turns - Their number, interval and variation.
 * @returns The peaks.
 */
export function createTurns(turns: PlayedTurns): readonly PlayedPeak[] {
  const { pools, turnCount, intervalMs, variationShare, seed } = turns;
  const draw = createDraw(seed + 1);
  return Array.from({ length: turnCount }, (_, index) => ({
    pool: pools[index % pools.length]!,
    startsAtMs: FIRST_TURN_AT_MS + intervalMs * (index + (draw() - 0.5) * variationShare),
    lengthMs: intervalMs,
  }));
}
