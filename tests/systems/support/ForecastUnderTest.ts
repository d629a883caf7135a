import {
  type ExpectedPeak,
  PeakForecast,
  type PeakForecastChange,
  type PeakForecastState,
  type PoolDemand,
  PoolPeaks,
} from '../../../src/systems/index.js';
import { ManualClock } from '../../../src/utils/index.js';
import type { PlayedForecast } from './playPeaks.js';

/** The forecast under test, with the peaks of the pools that it needs. */
export class ForecastUnderTest implements PlayedForecast {
  readonly forecast: PeakForecast;

  readonly changes: PeakForecastChange[] = [];

  private readonly clock = new ManualClock(0);

  private readonly peaks: PoolPeaks;

  private readonly pools: readonly string[];

  constructor(pools: readonly string[], known?: PeakForecastState, peaks?: PoolPeaks) {
    this.pools = pools;
    this.forecast = new PeakForecast(known);
    this.peaks = new PoolPeaks(this.clock, peaks?.list());
  }

  /** Creates the forecast of the next home, which knows the given state and the stored peaks. */
  createNext(state: PeakForecastState): ForecastUnderTest {
    return new ForecastUnderTest(this.pools, state, this.peaks);
  }

  observe(demands: readonly PoolDemand[], nowMs: number): void {
    this.clock.advance(nowMs - this.clock.monotonicMs());
    const { pools } = this;
    const knownPeaks = this.peaks.list();
    demands.forEach((demand) => this.peaks.record(demand));
    this.changes.push(...this.forecast.observe({ demands, knownPeaks, pools, nowMs }));
  }

  listExpectedPeaks(nowMs: number): readonly ExpectedPeak[] {
    return this.forecast.listExpectedPeaks(nowMs);
  }
}
