import { type DurableJobRow, isFinished } from './DurableJobRow.js';
import type { DurableJobState } from './DurableJobSpec.js';
import { isSameQueue, type QueueIdentity } from './QueueIdentity.js';

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
  /** Queue of a job that belongs to an organisation; absent in records of earlier releases. */
  readonly queue?: QueueIdentity;
}

/** Whose call it is that names a job, and where it came in. */
export interface JobCaller {
  /** Organisation of the caller; absent if its call needs no key. */
  readonly organisation?: string;
  /** Queue of the call; absent from instances of earlier releases. */
  readonly queue?: QueueIdentity;
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
  const { jobId, organisation, terms } = spec;
  if (organisation === undefined) return { jobId, state };
  const { queue, address } = terms;
  return { jobId, state, organisation, queue: { queue, address } };
}

/**
 * Tells whether a job may be shown to a caller, or cancelled by it.
 *
 * A call without a key sees a job of an organisation only on the job's own queue, whose calls have
 * come to need no key. Otherwise anybody could see and end the jobs of organisations by way of
 * another queue of their pool.
 * @param job - The job.
 * @param caller - Whose call it is, and on which queue.
 * @returns False if the job is another organisation's, or one of an organisation on another queue.
 */
export function isVisibleTo(job: TrackedJob, { organisation, queue }: JobCaller): boolean {
  const owner = 'spec' in job ? job.spec.organisation : job.organisation;
  if (owner === undefined || owner === organisation) return true;
  if (organisation !== undefined) return false;
  const jobQueue = 'spec' in job ? job.spec.terms : job.queue;
  return queue === undefined || jobQueue === undefined || isSameQueue(queue, jobQueue);
}
