import type { GrantRequest } from '../peers/index.js';
import type { Job } from './Job.js';

/**
 * Creates the grant request that an attempt at a job sends to the pool's home.
 * @param job - The job.
 * @param attemptId - Id of the attempt.
 * @param excludedVms - VMs that already failed the job.
 * @returns The request.
 */
export function createGrantRequest(
  job: Job,
  attemptId: string,
  excludedVms: readonly string[],
): GrantRequest {
  const { requestId, pool, team, jobKind, urgency, coreCount, memoryMb } = job;
  const { idempotent, deadlineAtMs, fingerprint } = job;
  const jobFields = { requestId, pool, team, jobKind, urgency, coreCount, memoryMb };
  const constraints = { idempotent, deadlineAtMs, fingerprint, excludedVms };
  return { type: 'request-grant', attemptId, ...jobFields, ...constraints };
}
