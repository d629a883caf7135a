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
  /** Organisation that the job belongs to, if any. */
  readonly organisation?: string;
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
  const { jobId, organisation } = spec;
  return { jobId, state, organisation };
}

/**
 * Tells whether a job may be shown to a caller, or cancelled by it.
 * @param job - The job.
 * @param organisation - Organisation of the caller; undefined if its call needs no key.
 * @returns False if the job belongs to another organisation.
 */
export function isVisibleTo(job: TrackedJob, organisation: string | undefined): boolean {
  const owner = 'spec' in job ? job.spec.organisation : job.organisation;
  return organisation === undefined || owner === undefined || owner === organisation;
}
