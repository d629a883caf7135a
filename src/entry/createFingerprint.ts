import { createHash } from 'node:crypto';
import type { JobSubmission } from '../callers/index.js';

/**
 * Hashes the parts of a request that identify a repeat of it.
 * @param submission - The request.
 * @returns A digest of pool, team, kind and body; a repeat may have a later deadline.
 */
export function createFingerprint(submission: JobSubmission): string {
  const { pool, team, jobKind, body } = submission;
  return createHash('sha256')
    .update(JSON.stringify([pool, team, jobKind]))
    .update(body)
    .digest('base64url');
}
