import type { GrantReply } from '../peers/index.js';
import type { TargetAddress } from '../targets/index.js';
import type { UsedGrant } from './GrantKeeper.js';
import type { Job } from './Job.js';

/**
 * Describes a grant that a job uses from now on.
 * @param job - The job.
 * @param grant - The grant.
 * @param target - Where the job runs.
 * @param onLost - Called when the target no longer knows the task or does not answer for it.
 * @returns What has to be kept alive.
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
