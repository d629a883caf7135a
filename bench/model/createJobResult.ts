import type { PoolTables } from '../../src/tables/index.js';
import type { JobResult } from './JobOutcome.js';
import type { JobState } from './JobState.js';

/**
 * Tells what became of a job.
 * @param tables - Tables of the pool.
 * @param state - The job.
 * @param endMs - End of the trace; a job without an answer ends then.
 * @returns The result.
 */
export function createJobResult(tables: PoolTables, state: JobState, endMs: number): JobResult {
  const { job, startedAtMs, result } = state;
  return {
    id: job.id,
    team: job.team,
    kind: job.kind,
    urgency: tables.settings.jobKinds[job.kind]!.urgency,
    arrivedAtMs: job.atMs,
    startedAtMs,
    end: result?.end ?? 'open',
    endedAtMs: result?.atMs ?? endMs,
  };
}
