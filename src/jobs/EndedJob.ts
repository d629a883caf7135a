import { type DurableJobRow, isFinished } from './DurableJobRow.js';
import type { DurableJobState } from './DurableJobSpec.js';

/**
 * What is kept of a job that is finished and has left all targets: just what its caller may still
 * ask. A home that opens reads these, and specifications of jobs that nobody runs any more were
 * nearly all that it read.
 */
export interface EndedJob {
  readonly jobId: string;
  readonly state: DurableJobState;
}

/** A job as its home knows it: whole while something of it may run. */
export type KnownJob = DurableJobRow | EndedJob;

/**
 * Reduces a job to its end, where nothing of it is to run and nothing runs.
 * @param row - The job.
 * @returns What is kept of it; undefined while it is not finished or has tasks on targets.
 */
export function summarizeEnded(row: DurableJobRow): EndedJob | undefined {
  const { spec, state, tasks } = row;
  if (!isFinished(row) || tasks.some(({ phase }) => phase === 'placed')) return undefined;
  return { jobId: spec.jobId, state };
}
