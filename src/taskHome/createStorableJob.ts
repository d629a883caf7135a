import { throwError } from '../errors/index.js';
import {
  countOccurrenceTasks,
  createJobRow,
  type DurableJobRow,
  type DurableJobSpec,
  encodeJobProgress,
  encodeJobSpec,
  MAX_OCCURRENCE_TASKS,
} from '../jobs/index.js';
import type { KeyedRecord } from '../store/index.js';

/** Bytes that the store adds to a record for the length of its key. */
const KEY_LENGTH_BYTES = 1;

function measure({ key, value }: KeyedRecord): number {
  return KEY_LENGTH_BYTES + Buffer.byteLength(key) + (value?.length ?? 0);
}

/**
 * Creates a job unless the store would reject its records.
 *
 * An append that the store rejects is repeated until it is accepted, so the records of one job that
 * is too large would hold up all changes of its partition without end.
 * @param spec - The job.
 * @param maxRecordBytes - Maximum size of a record, with its key, in bytes.
 * @returns Its row.
 * @throws RattanliftError Of kind `job-too-large` if it has too many tasks, which no entry of this
 * version passes on, or if a record of the job exceeds the maximum.
 */
export function createStorableJob(spec: DurableJobSpec, maxRecordBytes = Infinity): DurableJobRow {
  if (countOccurrenceTasks(spec) > MAX_OCCURRENCE_TASKS) {
    throwError('job-too-large', `A job may have ${MAX_OCCURRENCE_TASKS} tasks at a time.`);
  }
  const row = createJobRow(spec);
  const sizesBytes = [encodeJobSpec(spec), encodeJobProgress(row)].map(measure);
  if (Math.max(...sizesBytes) <= maxRecordBytes) return row;
  return throwError('job-too-large', `The store takes records of up to ${maxRecordBytes} bytes.`);
}
