import type { JobSubmission } from '../callers/index.js';
import { throwError } from '../errors/index.js';
import type { JobKindSettings, PoolSettings, Urgency } from '../settings/index.js';

/** A job, completed with the defaults of its pool's settings. */
export interface Job {
  readonly requestId: string;
  /** Pool as `team/pool`. */
  readonly pool: string;
  readonly team: string;
  readonly jobKind: string;
  readonly idempotent: boolean;
  readonly urgency: Urgency;
  readonly coreCount: number;
  readonly memoryMb: number;
  /** Wall-clock time after which the caller has no use for the answer. */
  readonly deadlineAtMs: number;
  /** Whether the caller says that it has sent the request before. */
  readonly isRepeat: boolean;
  readonly contentType: string;
  readonly body: Buffer;
  /** Hash of the request; distinguishes a repeat from a reused id. */
  readonly fingerprint: string;
}

function getJobKindOrThrow(settings: PoolSettings, jobKind: string): JobKindSettings {
  if (Object.hasOwn(settings.jobKinds, jobKind)) return settings.jobKinds[jobKind]!;
  const known = Object.keys(settings.jobKinds).join(', ');
  return throwError('bad-request', `The pool has no job kind ${jobKind}; it has: ${known}.`, {
    field: 'Rattanlift-Kind',
  });
}

/**
 * Completes a submission with the settings of its pool.
 * @param submission - What the caller sent.
 * @param settings - Current settings of the pool.
 * @param fingerprint - Hash of the request.
 * @returns The job.
 * @throws RattanliftError Of kind `bad-request` if the pool does not have the job kind, or if a
 * header that a non-idempotent job requires is missing.
 */
export function createJob(
  submission: JobSubmission,
  settings: PoolSettings,
  fingerprint: string,
): Job {
  const { requestId, pool, team, jobKind, deadlineAtMs, contentType, body } = submission;
  const { isRepeat, missingHeader } = submission;
  const declared = getJobKindOrThrow(settings, jobKind);
  const idempotent = submission.idempotent ?? declared.idempotent;
  if (!idempotent && missingHeader !== undefined) {
    return throwError('bad-request', `Job kind ${jobKind} requires the header ${missingHeader}.`, {
      field: missingHeader,
    });
  }
  return {
    requestId,
    pool,
    team,
    jobKind,
    idempotent,
    urgency: submission.urgency ?? declared.urgency,
    coreCount: submission.coreCount ?? declared.coreCount,
    memoryMb: submission.memoryMb ?? declared.memoryMb,
    deadlineAtMs,
    isRepeat,
    contentType,
    body,
    fingerprint,
  };
}
