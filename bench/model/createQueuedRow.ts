import type { PoolTables, QueuedRow } from '../../src/tables/index.js';
import type { JobState } from './JobState.js';

/**
 * Begins another attempt of a job, which waits for a VM.
 * @param tables - Tables of the pool.
 * @param state - The job.
 * @returns The row of the attempt.
 */
export function createQueuedRow(tables: PoolTables, state: JobState): QueuedRow {
  const { job, deadlineMs, excludedVms } = state;
  const { urgency, coreCount, memoryMb } = tables.settings.jobKinds[job.kind]!;
  return {
    attemptId: state.beginAttempt(),
    requestId: job.id,
    entry: 'entry-1',
    pool: tables.pool,
    team: job.team,
    jobKind: job.kind,
    urgency,
    coreCount,
    memoryMb,
    queuedAtMs: job.atMs,
    deadlineMs,
    excludedVms,
  };
}
