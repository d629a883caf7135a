import type { PoolTables } from '../tables/index.js';
import { MIN_LEARNED_RUN_COUNT } from './estimateJobSize.js';
import { quantile } from './quantile.js';

/** Run time assumed for a job kind that the settings do not declare, in milliseconds. */
const DEFAULT_RUN_MS = 1_000;
/** Quantile of the measured run times that serves as the shortest expected run time. */
const SHORT_RUN_QUANTILE = 0.1;

/** Expected run time of a job kind. */
export interface RunTimeEstimate {
  /** Whether the estimate comes from measured runs rather than from the declaration. */
  readonly isMeasured: boolean;
  /** Nearly every run lasts at least this long; 0 without measurements. */
  readonly shortestMs: number;
  readonly meanMs: number;
  /** Few runs last longer; 0 without measurements. */
  readonly longMs: number;
}

/** Estimates run times by job kind, and caches each estimate for one round of placement. */
export class RunTimeEstimator {
  private readonly tables: PoolTables;

  private readonly estimates = new Map<string, RunTimeEstimate>();

  /**
   * Creates an estimator with an empty cache.
   * @param tables - State of the pool with the history of its job kinds.
   */
  constructor(tables: PoolTables) {
    this.tables = tables;
  }

  /**
   * Estimates how long a run of a job kind lasts.
   * @param jobKind - The job kind.
   * @returns The estimate; a declared run time, often far off, only replaces a missing mean.
   */
  estimate(jobKind: string): RunTimeEstimate {
    const known = this.estimates.get(jobKind);
    if (known !== undefined) return known;
    const computed = this.compute(jobKind);
    this.estimates.set(jobKind, computed);
    return computed;
  }

  private compute(jobKind: string): RunTimeEstimate {
    const history = this.tables.history.get(jobKind);
    const recentRunMs = history?.recentRunMs ?? [];
    if (history === undefined || recentRunMs.length < MIN_LEARNED_RUN_COUNT) {
      const declaredMs = this.tables.settings.jobKinds[jobKind]?.expectedRunMs;
      const meanMs = declaredMs ?? DEFAULT_RUN_MS;
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
