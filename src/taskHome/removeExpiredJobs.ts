import { encodeJobRemoval } from '../jobs/index.js';
import type { JobTable } from './JobTable.js';
import type { RecordWriter } from './RecordWriter.js';

/** Where a home keeps its jobs. */
export interface KeptJobs {
  readonly table: Pick<JobTable, 'listEndedFor' | 'remove'>;
  readonly writer: Pick<RecordWriter, 'isStalled' | 'write'>;
}

/**
 * Removes the jobs whose ends have been readable for long enough, unless the store does not answer.
 * @param jobs - The jobs in memory, and the writer of their records.
 * @param keepFinishedMs - How long an end stays readable, in milliseconds.
 */
export function removeExpiredJobs({ table, writer }: KeptJobs, keepFinishedMs: number): void {
  const jobIds = table.listEndedFor(keepFinishedMs);
  if (jobIds.length === 0 || writer.isStalled) return;
  jobIds.forEach((jobId) => table.remove(jobId));
  // A closed writer has logged the reason, and the next home removes the jobs.
  writer.write(jobIds.flatMap(encodeJobRemoval)).catch(() => undefined);
}
