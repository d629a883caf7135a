/** What is known of a rhythm. */
export interface PeakRhythmState {
  /** Intervals between successive beginnings, the latest last, in milliseconds. */
  readonly intervalsMs: readonly number[];
  /** Errors of the latest expectations that came true, in milliseconds. */
  readonly errorsMs: readonly number[];
  /** Whether the latest expectations came true, the latest last. */
  readonly outcomes: readonly boolean[];
  /** Monotonic time of the latest beginning, in milliseconds; absent if it is unknown. */
  readonly lastBeganAtMs?: number;
}

/** Options of {@link PeakRhythm}. */
export interface PeakRhythmOptions {
  /** Number of intervals from which on a beginning is expected. */
  readonly minIntervalCount: number;
  /** Largest deviation of an interval from the median at which a beginning is expected. */
  readonly maxDeviationShare: number;
  /** What was learned earlier. */
  readonly known?: PeakRhythmState;
}

/** Time at which a rhythm expects a beginning. */
export interface ExpectedBegin {
  readonly earliestMs: number;
  readonly atMs: number;
  readonly latestMs: number;
  /** Number of intervals since the latest beginning. */
  readonly intervalCount: number;
}

/** How a beginning agrees with a rhythm. */
export type RhythmMatch = 'onTime' | 'offTime' | 'unexpected';

/** Shortest interval of a rhythm, in ms: in less no VM that is ordered for a beginning arrives. */
export const MIN_INTERVAL_MS = 3_000;
/** Number of intervals that are kept. */
const MAX_INTERVAL_COUNT = 8;
/** Number of outcomes that are kept: a few misses end the trust in any rhythm. */
const MAX_OUTCOME_COUNT = 4;
/** Number of intervals after which a beginning is expected no more. */
const MAX_EMPTY_COUNT = 2;
/** Assumed error as a share of one interval; it is divided by the number of intervals. */
const ASSUMED_ERROR_SHARE = 1 / 3;
/** Largest number by which the assumed error is divided. */
const MAX_ERROR_DIVISOR = 3;
/** Largest assumed error, in ms: without errors, VMs are kept in vain for twice this at most. */
const MAX_ASSUMED_ERROR_MS = 3_000;
/** Share of expectations that came true up to which a rhythm is not trusted. */
const MIN_TRUST = 0.5;

/** Computes the median of at least one number; of the middle two it is the mean. */
function getMedian(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

function getMaxDeviation(values: readonly number[]): number {
  const median = getMedian(values);
  return Math.max(...values.map((value) => Math.abs(value - median)));
}

/**
 * Learns the interval between beginnings and expects the next one. It counts which expectations
 * come true; if no more than half do, it forgets its intervals and learns them again.
 */
export class PeakRhythm {
  private readonly options: PeakRhythmOptions;

  private intervalsMs: readonly number[];

  private errorsMs: readonly number[];

  private outcomes: readonly boolean[];

  private lastBeganAtMs: number | undefined;

  /** Number of intervals since the latest beginning that passed without another one. */
  private emptyCount = 0;

  /**
   * Creates a rhythm.
   * @param options - When to expect a beginning, and what is known.
   */
  constructor(options: PeakRhythmOptions) {
    this.options = options;
    this.intervalsMs = options.known?.intervalsMs ?? [];
    this.errorsMs = options.known?.errorsMs ?? [];
    this.outcomes = options.known?.outcomes ?? [];
    this.lastBeganAtMs = options.known?.lastBeganAtMs;
  }

  /** What is known of the rhythm. */
  get state(): PeakRhythmState {
    const { intervalsMs, errorsMs, outcomes, lastBeganAtMs } = this;
    const learned = { intervalsMs, errorsMs, outcomes };
    return { ...learned, ...(lastBeganAtMs === undefined ? {} : { lastBeganAtMs }) };
  }

  /** Probability with which an expectation comes true, from 0 to 1; 0 if too few did. */
  get trust(): number {
    const hitCount = this.outcomes.filter(Boolean).length;
    const share = (hitCount + 1) / (this.outcomes.length + 1);
    return share > MIN_TRUST ? share : 0;
  }

  /**
   * Gets the next expected beginning, whether trusted or not.
   * @param offsetsMs - Times from the latest beginning to the next ones, in milliseconds, as far as
   * they are known better than by the intervals.
   * @returns The beginning, or undefined if there is no interval or if the intervals contradict.
   */
  getNext(offsetsMs: readonly number[] = []): ExpectedBegin | undefined {
    const { intervalsMs, lastBeganAtMs } = this;
    if (lastBeganAtMs === undefined || intervalsMs.length === 0) return undefined;
    const intervalCount = this.emptyCount + 1;
    const medianMs = getMedian(intervalsMs);
    const offsetMs = offsetsMs[this.emptyCount];
    if (offsetMs === undefined && !this.areIntervalsAlike) return undefined;
    const assumedMs = Math.min(MAX_ASSUMED_ERROR_MS, medianMs * ASSUMED_ERROR_SHARE);
    const assumedErrorMs = assumedMs / Math.min(MAX_ERROR_DIVISOR, intervalsMs.length);
    const deviationMs = offsetMs === undefined ? getMaxDeviation(intervalsMs) : 0;
    const spreadMs = Math.max(deviationMs, ...this.errorsMs) + assumedErrorMs;
    const atMs = lastBeganAtMs + (offsetMs ?? medianMs * intervalCount);
    return { earliestMs: atMs - spreadMs, atMs, latestMs: atMs + spreadMs, intervalCount };
  }

  /**
   * Ends the expectations that have not come true.
   * @param nowMs - Monotonic time in milliseconds.
   * @param offsetsMs - As for {@link getNext}.
   * @returns Number of the expectations that ended.
   */
  expire(nowMs: number, offsetsMs: readonly number[] = []): number {
    const next = this.getNext(offsetsMs);
    if (next === undefined || nowMs <= next.latestMs) return 0;
    this.emptyCount += 1;
    this.addOutcome(false);
    if (this.emptyCount >= MAX_EMPTY_COUNT) this.lastBeganAtMs = undefined;
    return 1 + this.expire(nowMs, offsetsMs);
  }

  /**
   * Records a beginning.
   * @param beganAtMs - Its monotonic time in milliseconds.
   * @param isCandidate - Whether it may be the expected one. Another one that is not on time either
   * does not belong to the rhythm and changes nothing.
   * @param offsetsMs - As for {@link getNext}.
   * @returns How it agrees with the rhythm.
   */
  record(beganAtMs: number, isCandidate: boolean, offsetsMs: readonly number[] = []): RhythmMatch {
    this.expire(beganAtMs, offsetsMs);
    const { lastBeganAtMs } = this;
    const next = this.getNext(offsetsMs);
    if (next === undefined) {
      if (lastBeganAtMs !== undefined) this.addInterval(beganAtMs - lastBeganAtMs);
      this.restartAt(beganAtMs);
      return 'unexpected';
    }
    if (beganAtMs >= next.earliestMs) {
      this.addInterval((beganAtMs - lastBeganAtMs!) / next.intervalCount);
      this.addError(Math.abs(beganAtMs - next.atMs));
      this.addOutcome(isCandidate);
      this.restartAt(beganAtMs);
      return isCandidate ? 'onTime' : 'unexpected';
    }
    if (!isCandidate) return 'unexpected';
    // A late beginning has been counted when its expectation ended.
    if (next.intervalCount === 1) this.addOutcome(false);
    this.restartAt(beganAtMs);
    return 'offTime';
  }

  /**
   * Counts the next interval from a time at which a beginning is assumed.
   * @param beganAtMs - Monotonic time in milliseconds.
   */
  restartAt(beganAtMs: number): void {
    this.lastBeganAtMs = beganAtMs;
    this.emptyCount = 0;
  }

  private get areIntervalsAlike(): boolean {
    const { intervalsMs } = this;
    const { minIntervalCount, maxDeviationShare } = this.options;
    const limitMs = getMedian(intervalsMs) * maxDeviationShare;
    return intervalsMs.length >= minIntervalCount && getMaxDeviation(intervalsMs) <= limitMs;
  }

  private addInterval(intervalMs: number): void {
    if (intervalMs < MIN_INTERVAL_MS) {
      this.intervalsMs = [];
      return;
    }
    this.intervalsMs = [...this.intervalsMs, intervalMs].slice(-MAX_INTERVAL_COUNT);
    const limitMs = getMedian(this.intervalsMs) * this.options.maxDeviationShare;
    // Intervals that contradict each other are no rhythm: the latest one may begin another.
    if (getMaxDeviation(this.intervalsMs) > limitMs) this.intervalsMs = [intervalMs];
  }

  private addError(errorMs: number): void {
    this.errorsMs = [...this.errorsMs, errorMs].slice(-MAX_OUTCOME_COUNT);
  }

  private addOutcome(outcome: boolean): void {
    this.outcomes = [...this.outcomes, outcome].slice(-MAX_OUTCOME_COUNT);
    if (this.trust > 0 || outcome) return;
    this.intervalsMs = [];
    this.errorsMs = [];
    this.lastBeganAtMs = undefined;
  }
}
