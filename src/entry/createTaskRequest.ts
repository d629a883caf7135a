import type { GrantReply } from '../peers/index.js';
import type { TaskRequest } from '../targets/index.js';
import type { Clock } from '../utils/index.js';
import { TASK_LEASE_MS } from './GrantRenewer.js';
import type { Job } from './Job.js';

/** Options of {@link createTaskRequest}. */
export interface TaskRequestOptions {
  readonly clock: Clock;
  /** Aborts the attempt. */
  readonly signal: AbortSignal;
}

/**
 * Creates the task that runs a job on the VM of a grant.
 * @param job - The job.
 * @param grant - The grant.
 * @param options - Clock for the deadlines, and the abort signal.
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
    // A middlebox may drop the state of an idle connection, and a request that must not be sent
    // twice is then lost on it. A fresh connection avoids this.
    freshConnection: !job.idempotent,
    leaseDeadlineMs: clock.wallMs() + TASK_LEASE_MS,
    silenceLimitMs: Math.max(1, job.deadlineAtMs - clock.wallMs()),
    signal,
  };
}
