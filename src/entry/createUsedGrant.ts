import type { GrantReply } from '../peers/index.js';
import type { TargetAddress } from '../targets/index.js';
import type { UsedGrant } from './GrantRenewer.js';
import type { Job } from './Job.js';

/**
 * Creates the record of a grant that a job starts to use.
 * @param job - The job.
 * @param grant - The grant.
 * @param target - Address of the target that runs the job.
 * @param onLost - Called when the target no longer knows the task or does not answer renewals.
 * @returns The grant to renew.
 */
export function createUsedGrant(
  job: Job,
  { grantId, vm }: GrantReply,
  target: TargetAddress,
  onLost: () => void,
): UsedGrant {
  const { requestId, pool, team, jobKind, urgency, coreCount, memoryMb } = job;
  return {
    grantId,
    requestId,
    pool,
    team,
    jobKind,
    urgency,
    vm,
    coreCount,
    memoryMb,
    target,
    onLost,
  };
}
