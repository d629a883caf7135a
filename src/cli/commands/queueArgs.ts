import type { ArgsDef } from 'citty';
import type { DurableJobView } from '../../callers/index.js';
import { EXIT_CODES } from '../../errors/index.js';
import { formatTable } from '../formatTable.js';

/** Arguments that name a job of a queue. */
export const QUEUE_JOB_ARGS = {
  queue: { type: 'positional', description: 'Name of the queue', required: true },
  job: { type: 'positional', description: 'Id of the job', required: true },
} as const satisfies ArgsDef;

/**
 * Formats a durable job for people.
 * @param job - The job.
 * @returns A table of one row.
 */
export function formatDurableJob({ queue, jobId, state }: DurableJobView): string {
  const columns = [
    { title: 'queue', valueOf: () => queue },
    { title: 'job', valueOf: () => jobId },
    { title: 'state', valueOf: () => state },
  ];
  return formatTable(columns, [jobId]);
}

/**
 * Chooses the exit code of a command that shows a durable job.
 * @param job - The job.
 * @returns The code.
 */
export function exitCodeOfDurableJob({ state }: DurableJobView): number {
  return state === 'failed' ? EXIT_CODES.jobFailed : EXIT_CODES.ok;
}
