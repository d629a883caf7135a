import type { GrantReply } from '../peers/index.js';
import type { TaskRequest } from '../targets/index.js';
import type { Clock } from '../utils/index.js';
import { TASK_LEASE_MS } from './GrantKeeper.js';
import type { Job } from './Job.js';

/** How {@link createTaskRequest} bounds a task. */
export interface TaskRequestOptions {
  readonly clock: Clock;
  /** Ends the attempt. */
  readonly signal: AbortSignal;
}

/**
 * Creates the task that a job becomes on the VM of a grant.
 * @param job - The job.
 * @param grant - The grant.
 * @param options - Clock of its deadlines, and what ends it.
 * @returns The task.
 */
export function createTaskRequest(
  job: Job,
  grant: GrantReply,
  { clock, signal }: TaskRequestOptions,
): TaskRequest {
  const { requestId, jobKind, coreCount, memoryMb, contentType, body } = job;
  return {
    taskId: grant.grantId,
    requestId,
    jobKind,
    coreCount,
    memoryMb,
    contentType,
    body,
    // Failure: a middlebox has forgotten an idle connection, and a request that must not be sent
    // twice vanishes on it. A connection of its own cannot have been forgotten.
    freshConnection: !job.idempotent,
    leaseDeadlineMs: clock.wallMs() + TASK_LEASE_MS,
    silenceLimitMs: Math.max(1, job.deadlineAtMs - clock.wallMs()),
    signal,
  };
}
