import {
  createJobRow,
  type DurableJobSpec,
  encodeJobProgress,
  encodeJobSpec,
  placeTask,
} from '../../src/jobs/index.js';
import type { KeyedRecord } from '../../src/store/index.js';
import { makeEntry, makeJob, makeStep } from '../taskHome/HomeWorld.js';

const PAYLOAD = 'x'.repeat(2_400);

function makeJobOf(pool: string, jobId: string, steps: DurableJobSpec['steps']): DurableJobSpec {
  const job = makeJob(jobId, steps);
  return { ...job, payload: PAYLOAD, terms: { ...job.terms, pool } };
}

/**
 * Makes a job that waits, as it needs a label that no target has.
 * @param pool - Its pool.
 * @param number - Its number among the jobs of the pool.
 * @returns The job.
 */
export function makeWaitingJob(pool: string, number: number): DurableJobSpec {
  return makeJobOf(pool, `${pool}-wait-${number}`, [makeStep({ requiredLabel: 'none' })]);
}

/**
 * Makes a job whose tasks run until it is cancelled.
 * @param pool - Its pool.
 * @param jobId - Its id.
 * @param taskCount - How many tasks it has.
 * @param maxTasksPerTarget - Most of its tasks on one target.
 * @returns The job.
 */
export function makeService(
  pool: string,
  jobId: string,
  taskCount: number,
  maxTasksPerTarget: number,
): DurableJobSpec {
  return makeJobOf(pool, jobId, [makeStep({ taskCount, maxTasksPerTarget, isLongRunning: true })]);
}

/**
 * Encodes a job as a home does that has accepted it.
 * @param job - The job.
 * @param targetId - The target on which its first task is placed; absent while it waits.
 * @returns The records.
 */
export function encodeAcceptedJob(job: DurableJobSpec, targetId?: string): readonly KeyedRecord[] {
  const row = createJobRow(job);
  const placed = targetId === undefined ? row : placeTask(row, 0, targetId);
  return [encodeJobSpec(job), encodeJobProgress(placed)];
}

/**
 * Encodes the entry of a target of another service as the platform's stand-in lists it.
 * @param targetId - Id of the target.
 * @returns The record.
 */
export function encodeTargetEntry(targetId: string): KeyedRecord {
  const entry = makeEntry(targetId, { pool: 'other' });
  return { key: targetId, value: Buffer.from(JSON.stringify(entry)) };
}
