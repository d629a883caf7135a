import type { PoolTables, QueuedRow } from '../tables/index.js';

/** Runs from which on measurements take precedence over the declaration. */
export const MIN_LEARNED_RUN_COUNT = 5;
/** Smallest share of the declared memory to allocate, however little was measured. */
export const MEMORY_FLOOR_FRACTION = 0.5;

/** Resources that a job occupies on a VM. */
export interface JobSize {
  readonly coreCount: number;
  readonly memoryMb: number;
}

/**
 * Estimates the resources for a request from the measured usage of its job kind. The declared size
 * serves as the initial estimate.
 * @param tables - State of the pool with the history of its job kinds.
 * @param request - The request with its declared size.
 * @returns Cores and memory to allocate.
 */
export function estimateJobSize(tables: PoolTables, request: QueuedRow): JobSize {
  const history = tables.history.get(request.jobKind);
  const { coreCount, memoryMb } = request;
  if (history === undefined || history.recentMemoryMb.length === 0) return { coreCount, memoryMb };
  if (history.recentMemoryMb.length < MIN_LEARNED_RUN_COUNT) {
    return { coreCount, memoryMb: Math.max(memoryMb, history.memoryMb) };
  }
  const floorMb = memoryMb * MEMORY_FLOOR_FRACTION;
  return { coreCount, memoryMb: Math.max(floorMb, history.memoryMb) };
}
