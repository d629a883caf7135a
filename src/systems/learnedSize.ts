import type { PoolTables, QueuedRow } from '../tables/index.js';
import { quantile } from './quantile.js';

/** Runs from which on measurements count for more than the declaration. */
export const MIN_LEARNED_RUN_COUNT = 5;
/** Least share of the declared memory that is set aside, however little was measured. */
export const MEMORY_FLOOR_FRACTION = 0.5;
/** Run time assumed for a kind that the settings do not declare, in milliseconds. */
const UNDECLARED_RUN_MS = 1_000;
/** Quantile of the run times that a run is taken not to fall short of. */
const SHORT_RUN_QUANTILE = 0.1;
/** Quantile of the run times that queues are estimated with. */
const TYPICAL_RUN_QUANTILE = 0.5;

/** What a job takes on a VM. */
export interface JobSize {
  readonly coreCount: number;
  readonly memoryMb: number;
}

/** What a run of a kind is expected to last. */
export interface RunEstimate {
  /** Nearly every run lasts at least this long; 0 where nothing is known. */
  readonly shortestMs: number;
  readonly typicalMs: number;
}

/**
 * Sizes a request by what its kind was measured to need; the declaration is only a prior.
 * @param tables - State of the pool with the history of its kinds.
 * @param request - The request with its declared size.
 * @returns Cores and memory to set aside.
 */
export function learnedSize(tables: PoolTables, request: QueuedRow): JobSize {
  const history = tables.history.get(request.jobKind);
  const { coreCount, memoryMb } = request;
  if (history === undefined || history.recentMemoryMb.length === 0) return { coreCount, memoryMb };
  if (history.recentMemoryMb.length < MIN_LEARNED_RUN_COUNT) {
    return { coreCount, memoryMb: Math.max(memoryMb, history.memoryMb) };
  }
  const floorMb = memoryMb * MEMORY_FLOOR_FRACTION;
  return { coreCount, memoryMb: Math.max(floorMb, history.memoryMb) };
}

/**
 * Estimates how long a run of a kind lasts.
 * @param tables - State of the pool with the history of its kinds.
 * @param jobKind - The kind.
 * @returns The shortest and the typical run time.
 */
export function estimateRun(tables: PoolTables, jobKind: string): RunEstimate {
  const recentRunMs = tables.history.get(jobKind)?.recentRunMs ?? [];
  if (recentRunMs.length < MIN_LEARNED_RUN_COUNT) {
    const declaredMs = tables.settings.jobKinds[jobKind]?.expectedRunMs;
    return { shortestMs: 0, typicalMs: declaredMs ?? UNDECLARED_RUN_MS };
  }
  return {
    shortestMs: quantile(recentRunMs, SHORT_RUN_QUANTILE),
    typicalMs: quantile(recentRunMs, TYPICAL_RUN_QUANTILE),
  };
}
