import type { DurableJobRow } from '../jobs/index.js';

/**
 * Lists the jobs whose state nobody may ask for any more.
 * @param rows - The jobs of a home.
 * @param beforeMs - Wall-clock time in milliseconds; jobs that finished earlier are old.
 * @returns Ids of old jobs without a task on a target.
 */
export function listForgettable(
  rows: readonly DurableJobRow[],
  beforeMs: number,
): readonly string[] {
  return rows
    .filter(({ finishedAtMs }) => finishedAtMs !== undefined && finishedAtMs < beforeMs)
    .filter(({ tasks }) => tasks.every(({ phase }) => phase !== 'placed'))
    .map(({ spec }) => spec.jobId);
}
