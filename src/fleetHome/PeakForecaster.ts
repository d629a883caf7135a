import type { EventLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { KeyedRecord } from '../store/index.js';
import {
  type ExpectedPeak,
  type Mechanisms,
  PeakForecast,
  type PeakForecastChange,
  type PoolDemand,
  type PoolPeak,
} from '../systems/index.js';
import { assertNever, type Clock } from '../utils/index.js';
import { encodePeakForecastRecord, type PeakForecastRecord } from './PeakForecastRecord.js';
import { listPeakForecastRecords, restorePeakForecast } from './restorePeakForecast.js';

/** Options of {@link PeakForecaster}. */
export interface PeakForecasterOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly mechanisms: Mechanisms;
  /** What earlier homes have learned about peaks that recur. */
  readonly forecastRecords: readonly PeakForecastRecord[];
  /** Lists the pools whose VMs run tasks. */
  readonly listPools: () => readonly string[];
  /** Stores records of this home; rejects if the home has been replaced. */
  readonly store: (records: readonly KeyedRecord[]) => Promise<void>;
}

/** Time before a peak at which an order for a VM is in time for it, in milliseconds. */
const ORDER_AHEAD_MS = 2_500;
/** Shortest time between two writes, in milliseconds, as calls to the store are limited. */
const STORE_INTERVAL_MS = 5_000;

type Foresight = 'in-time' | 'late' | 'no';

/** An expected peak, as it was last logged. */
interface AnnouncedPeak {
  readonly peak: ExpectedPeak;
  /** Monotonic time since which the pool is expected to have a peak, in milliseconds. */
  readonly sinceMs: number;
}

function isSamePeak(a: ExpectedPeak, b: ExpectedPeak): boolean {
  return a.startsAtMs === b.startsAtMs && a.confidence === b.confidence;
}

/** Forecasts recurring load peaks for the fleet's home: observes, stores, logs and answers. */
export class PeakForecaster {
  private readonly options: PeakForecasterOptions;

  private readonly forecast: PeakForecast;

  private readonly isEnabled: boolean;

  /** Expected peaks by pool. */
  private announced: ReadonlyMap<string, AnnouncedPeak> = new Map();

  /** Pools whose records are out of date. */
  private readonly unstoredPools = new Set<string>();

  private readonly poolsInPeak = new Set<string>();

  private areTurnsUnstored = false;

  private storedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Creates a forecaster.
   * @param options - Clock, store, stored knowledge, events and metrics.
   */
  constructor(options: PeakForecasterOptions) {
    this.options = options;
    this.isEnabled = options.mechanisms.has('peaks-foreseen');
    this.forecast = new PeakForecast(restorePeakForecast(options.forecastRecords, options.clock));
  }

  /**
   * Observes the load of the pools in one pass.
   * @param demands - Demands of the pools that answered.
   * @param knownPeaks - Most VMs that each pool was known to use before this pass.
   */
  observe(demands: readonly PoolDemand[], knownPeaks: readonly PoolPeak[]): void {
    if (!this.isEnabled) return;
    const pools = this.options.listPools();
    const nowMs = this.options.clock.monotonicMs();
    const changes = this.forecast.observe({ demands, knownPeaks, pools, nowMs });
    changes.forEach((change) => this.report(change));
    this.announce(nowMs);
    this.storeIfDue(nowMs);
  }

  /**
   * Lists the expected peaks.
   * @returns At most one peak for each pool.
   */
  listExpectedPeaks(): readonly ExpectedPeak[] {
    if (!this.isEnabled) return [];
    return this.forecast.listExpectedPeaks(this.options.clock.monotonicMs());
  }

  private report(change: PeakForecastChange): void {
    switch (change.type) {
      case 'began':
        this.reportBegin(change);
        break;
      case 'ended':
        this.reportEnd(change);
        break;
      case 'missed':
        this.options.events.write('peakMissed', { pools: change.pools.join(' ') });
        this.markUnstored(change.pools);
        break;
      default:
        assertNever(change);
    }
  }

  private reportBegin({
    peak,
    expected,
  }: Extract<PeakForecastChange, { readonly type: 'began' }>): void {
    const { events, metrics } = this.options;
    const { pool, isBeginSeen, vmCount } = peak;
    this.poolsInPeak.add(pool);
    // The heights of all peaks in progress tell what to expect of pools that have had none.
    this.markUnstored([...this.poolsInPeak]);
    if (!isBeginSeen) {
      events.write('peakBegan', { pool, isBeginSeen, vmCount: Math.ceil(vmCount) });
      return;
    }
    const foresight = expected === undefined ? 'no' : this.getForesight(peak);
    events.write('peakBegan', { pool, isBeginSeen, vmCount: Math.ceil(vmCount), foresight });
    metrics.increment('peaks_begun', { pool, result: foresight });
  }

  private getForesight({ pool, beganAtMs }: { pool: string; beganAtMs: number }): Foresight {
    const sinceMs = this.announced.get(pool)?.sinceMs ?? Number.POSITIVE_INFINITY;
    return beganAtMs - sinceMs >= ORDER_AHEAD_MS ? 'in-time' : 'late';
  }

  private reportEnd({
    peak,
    endedAtMs,
  }: Extract<PeakForecastChange, { readonly type: 'ended' }>): void {
    const { pool, vmCount, beganAtMs } = peak;
    const lastedMs = Math.round(endedAtMs - beganAtMs);
    this.options.events.write('peakEnded', { pool, vmCount: Math.ceil(vmCount), lastedMs });
    this.poolsInPeak.delete(pool);
    this.unstoredPools.add(pool);
  }

  /** Logs the expected peaks that have changed. */
  private announce(nowMs: number): void {
    const peaks = this.forecast.listExpectedPeaks(nowMs);
    const former = this.announced;
    this.announced = new Map(
      peaks.map((peak) => [peak.pool, { peak, sinceMs: former.get(peak.pool)?.sinceMs ?? nowMs }]),
    );
    peaks
      .filter((peak) => {
        const known = former.get(peak.pool)?.peak;
        return known === undefined || !isSamePeak(known, peak);
      })
      .forEach(({ pool, startsAtMs, vmCount, confidence }) =>
        this.options.events.write('peakExpected', {
          pool,
          startsInMs: Math.round(startsAtMs - nowMs),
          vmCount,
          confidence: Number(confidence.toFixed(2)),
        }),
      );
  }

  private markUnstored(pools: readonly string[]): void {
    this.areTurnsUnstored = true;
    pools.forEach((pool) => this.unstoredPools.add(pool));
  }

  /** Stores what was learned since the last write. */
  private storeIfDue(nowMs: number): void {
    if (!this.areTurnsUnstored && this.unstoredPools.size === 0) return;
    if (nowMs - this.storedAtMs < STORE_INTERVAL_MS) return;
    const records = listPeakForecastRecords(this.forecast.state, this.options.clock).filter(
      (record) =>
        record.type === 'turns' ? this.areTurnsUnstored : this.unstoredPools.has(record.pool),
    );
    this.storedAtMs = nowMs;
    this.areTurnsUnstored = false;
    this.unstoredPools.clear();
    // The writer reports that it was replaced; the next home learns again what was not stored.
    this.options.store(records.map(encodePeakForecastRecord)).catch(() => undefined);
  }
}
