import type { PoolTables, QueuedRow } from '../tables/index.js';

/** Runs from which on measurements count for more than the declaration. */
export const MIN_LEARNED_RUN_COUNT = 5;
/** Least share of the declared memory that is set aside, however little was measured. */
export const MEMORY_FLOOR_FRACTION = 0.5;
/** What a job takes on a VM. */
export interface JobSize {
  readonly coreCount: number;
  readonly memoryMb: number;
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
