import { type DurableJobRow, isFinished } from './DurableJobRow.js';
import type { DurableJobState } from './DurableJobSpec.js';

/**
 * What is kept of a job that is finished and has no tasks on targets: only what its caller can
 * still query. A home reads all records when it opens; without this reduction, nearly all of that
 * data would be specifications of finished jobs.
 */
export interface EndedJob {
  readonly jobId: string;
  readonly state: DurableJobState;
}

/** A job in its home: the complete row until the job is finished and has left all targets. */
export type TrackedJob = DurableJobRow | EndedJob;

/**
 * Reduces a finished job to what is kept of it.
 * @param row - The job.
 * @returns The ended job, or undefined while the job is unfinished or has tasks on targets.
 */
export function summarizeEndedJob(row: DurableJobRow): EndedJob | undefined {
  const { spec, state, tasks } = row;
  if (!isFinished(row) || tasks.some(({ phase }) => phase === 'placed')) return undefined;
  return { jobId: spec.jobId, state };
}
