import type { PoolTables } from '../tables/index.js';
import { MIN_LEARNED_RUN_COUNT } from './learnedSize.js';
import { quantile } from './quantile.js';

/** Run time assumed for a kind that the settings do not declare, in milliseconds. */
const UNDECLARED_RUN_MS = 1_000;
/** Quantile of the run times that a run is taken not to fall short of. */
const SHORT_RUN_QUANTILE = 0.1;

/** What a run of a kind is expected to last. */
export interface RunEstimate {
  /** Whether it comes from measured runs and not from the declaration. */
  readonly isMeasured: boolean;
  /** Nearly every run lasts at least this long; 0 where nothing is measured. */
  readonly shortestMs: number;
  readonly meanMs: number;
  /** Few runs last longer; 0 where nothing is measured. */
  readonly longMs: number;
}

/** Estimates of run times by kind, computed once each for one run of the placement. */
export class RunEstimator {
  private readonly tables: PoolTables;

  private readonly estimates = new Map<string, RunEstimate>();

  /**
   * Starts without an estimate.
   * @param tables - State of the pool with the history of its kinds.
   */
  constructor(tables: PoolTables) {
    this.tables = tables;
  }

  /**
   * Estimates how long a run of a kind lasts.
   * @param jobKind - The kind.
   * @returns The estimate; declared run times are often far off and only stand in for the mean.
   */
  estimate(jobKind: string): RunEstimate {
    const known = this.estimates.get(jobKind);
    if (known !== undefined) return known;
    const computed = this.compute(jobKind);
    this.estimates.set(jobKind, computed);
    return computed;
  }

  private compute(jobKind: string): RunEstimate {
    const history = this.tables.history.get(jobKind);
    const recentRunMs = history?.recentRunMs ?? [];
    if (history === undefined || recentRunMs.length < MIN_LEARNED_RUN_COUNT) {
      const declaredMs = this.tables.settings.jobKinds[jobKind]?.expectedRunMs;
      const meanMs = declaredMs ?? UNDECLARED_RUN_MS;
      return { isMeasured: false, shortestMs: 0, meanMs, longMs: 0 };
    }
    const sumMs = recentRunMs.reduce((sum, runMs) => sum + runMs, 0);
    return {
      isMeasured: true,
      shortestMs: quantile(recentRunMs, SHORT_RUN_QUANTILE),
      meanMs: sumMs / recentRunMs.length,
      longMs: history.runMs,
    };
  }
}
