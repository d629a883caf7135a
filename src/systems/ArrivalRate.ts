import type { Clock } from '../utils/index.js';
import { type Arrival, forecastArrivals, sumWork } from './forecastArrivals.js';
import type { Mechanisms } from './mechanisms.js';

/** Least number of arrivals for a rate: with fewer, a single arrival dominates the result. */
const MIN_ARRIVAL_COUNT = 5;
/** Shortest span over which arrivals are counted, in ms: half the time of a move between pools. */
const MIN_SPAN_MS = 700;
/** Longest span, in milliseconds: a peak of rare jobs is detected in time for half of the peak. */
const MAX_SPAN_MS = 2_000;

/** Least number of arrivals in the later half of the span for a rise to be significant. */
const MIN_RISE_COUNT = 4;
/**
 * Ratio of the later half's work to the earlier half's above which the rate counts as rising: with
 * seven arrivals in each half, chance alone exceeds it in about one of twelve evaluations.
 */
const MIN_RISE_FACTOR = 2;
/** Assumed growth of a rising rate until a VM that is ordered now is available. */
const FORECAST_FACTOR = 2;

/** Measures how much work has arrived recently. */
export class ArrivalRate {
  private readonly clock: Clock;

  private arrivals: readonly Arrival[] = [];

  /**
   * Creates a rate without arrivals.
   * @param clock - Clock that determines which arrivals are recent.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Records work that has arrived.
   * @param work - The work in thousandths of a core times milliseconds.
   */
  record(work: number): void {
    this.arrivals = [...this.listRecent(), { atMs: this.clock.monotonicMs(), work }];
  }

  /**
   * Forecasts the CPU that keeps up with the arrivals once a VM ordered now is available.
   * @param mechanisms - Enabled mechanisms.
   * @returns The CPU in thousandths of a core.
   */
  forecast(mechanisms: Mechanisms): number {
    if (!mechanisms.has('rise-foreseen')) return this.cpuMillicores;
    if (!mechanisms.has('need-by-known-work')) return this.forecastCpuMillicores;
    return forecastArrivals(this.listRecent(), this.clock.monotonicMs());
  }

  /**
   * CPU that keeps up with the arrivals, in thousandths of a core. The rate is measured over a
   * short span if many jobs arrive, and over a longer one otherwise, so that three large jobs that
   * arrive together by chance don't count as a load peak.
   */
  get cpuMillicores(): number {
    const nowMs = this.clock.monotonicMs();
    const recent = this.listRecent();
    const ageMs = nowMs - (recent.at(-MIN_ARRIVAL_COUNT)?.atMs ?? Number.NEGATIVE_INFINITY);
    const spanMs = Math.min(MAX_SPAN_MS, Math.max(MIN_SPAN_MS, ageMs));
    const inSpan = recent.filter(({ atMs }) => atMs >= nowMs - spanMs);
    return sumWork(inSpan) / spanMs;
  }

  /**
   * Forecast of the CPU that keeps up with the arrivals once a VM ordered now is available, in
   * thousandths of a core.
   *
   * A load peak grows for 2 to 3 s at its start, and a VM takes 2 s to become available. VMs that
   * are ordered by the current rate would cover half of the need when they arrive.
   */
  get forecastCpuMillicores(): number {
    const nowMs = this.clock.monotonicMs();
    const halfMs = MIN_SPAN_MS / 2;
    const recent = this.listRecent().filter(({ atMs }) => atMs >= nowMs - MIN_SPAN_MS);
    const late = recent.filter(({ atMs }) => atMs >= nowMs - halfMs);
    const lateWork = sumWork(late);
    const earlyWork = sumWork(recent) - lateWork;
    const isRising = late.length >= MIN_RISE_COUNT && lateWork > MIN_RISE_FACTOR * earlyWork;
    const currentMillicores = this.cpuMillicores;
    if (!isRising) return currentMillicores;
    return Math.max(currentMillicores, (FORECAST_FACTOR * lateWork) / halfMs);
  }

  private listRecent(): readonly Arrival[] {
    const fromMs = this.clock.monotonicMs() - MAX_SPAN_MS;
    return this.arrivals.filter(({ atMs }) => atMs >= fromMs);
  }
}
