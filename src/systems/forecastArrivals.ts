/** Work that has arrived at a time. */
export interface Arrival {
  /** Monotonic time, in milliseconds. */
  readonly atMs: number;
  /** Work in thousandths of a core times milliseconds. */
  readonly work: number;
}

/**
 * Spans over which the latest arrivals are compared with those before, in milliseconds. A load peak
 * of many small jobs shows in the shortest one; one of few large jobs needs the longest.
 */
const SPANS_MS = [350, 700, 1_000] as const;
/**
 * Standard deviations by which the latest arrivals must exceed those before to be a rise. Chance
 * alone exceeds two of them in one of 40 comparisons.
 */
const RISE_DEVIATIONS = 2;
/** Ratio of the latest arrivals to those before from which the rate rises at a peak's pace. */
const MIN_RISE_RATIO = 2;
/** Assumed growth of a rising rate until a VM that is ordered now is available. */
const RISE_FACTOR = 2;
/** Arrivals from which their rate is measured: its standard deviation is then below a third. */
const RATE_COUNT = 12;
/** Longest span of a rate, in milliseconds: the callers of a load peak wait no longer for VMs. */
const MAX_RATE_SPAN_MS = 2_000;
/** Shortest span of a rate, in milliseconds: less than half of the time of a move. */
const MIN_RATE_SPAN_MS = 700;

/**
 * Sums up the work of arrivals.
 * @param arrivals - The arrivals.
 * @returns The work in thousandths of a core times milliseconds.
 */
export function sumWork(arrivals: readonly Arrival[]): number {
  return arrivals.reduce((sum, { work }) => sum + work, 0);
}

/** Computes the CPU that keeps up with a steady rate, over a span with enough arrivals. */
function getSteadyMillicores(arrivals: readonly Arrival[], nowMs: number): number {
  const ageMs = nowMs - (arrivals.at(-RATE_COUNT)?.atMs ?? Number.NEGATIVE_INFINITY);
  const spanMs = Math.min(MAX_RATE_SPAN_MS, Math.max(MIN_RATE_SPAN_MS, ageMs));
  return sumWork(arrivals.filter(({ atMs }) => atMs >= nowMs - spanMs)) / spanMs;
}

/** Computes the CPU of a rise over a span; 0 if the arrivals don't show one. */
function getRisingMillicores(arrivals: readonly Arrival[], nowMs: number, spanMs: number): number {
  const lateCount = arrivals.filter(({ atMs }) => atMs >= nowMs - spanMs).length;
  const bothCount = arrivals.filter(({ atMs }) => atMs >= nowMs - 2 * spanMs).length;
  const earlyCount = bothCount - lateCount;
  const isSteep = lateCount > MIN_RISE_RATIO * earlyCount;
  const isCertain = lateCount - earlyCount > RISE_DEVIATIONS * Math.sqrt(bothCount);
  if (!isSteep || !isCertain) return 0;
  const meanWork = sumWork(arrivals) / arrivals.length;
  return (RISE_FACTOR * lateCount * meanWork) / spanMs;
}

/**
 * Forecasts the CPU that keeps up with arriving work once a VM that is ordered now is available.
 *
 * This handles the start of a load peak, which rises for 2 to 3 s while a VM takes 2 s: VMs ordered
 * by the present rate would cover half of the need. A rise is extrapolated only if the number of
 * arrivals supports it: by their work alone, a few large jobs that arrive together by chance would
 * seem to be a rise.
 * @param arrivals - Arrivals of the last two seconds, in ascending order of time.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns The CPU in thousandths of a core.
 */
export function forecastArrivals(arrivals: readonly Arrival[], nowMs: number): number {
  const rising = SPANS_MS.map((spanMs) => getRisingMillicores(arrivals, nowMs, spanMs));
  return Math.max(getSteadyMillicores(arrivals, nowMs), ...rising);
}
