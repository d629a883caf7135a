import type { Job } from '../../src/entry/Job.js';

/** Creates an idempotent job; `changes` replaces the fields that a test depends on. */
export function makeJob(changes: Partial<Job> = {}): Job {
  return {
    requestId: 'r1',
    pool: 'team/pool',
    team: 'team',
    jobKind: 'save',
    idempotent: true,
    urgency: 'urgent',
    coreCount: 1,
    memoryMb: 1,
    deadlineAtMs: 3_000,
    isRepeat: false,
    contentType: 'text/plain',
    body: Buffer.from(''),
    fingerprint: 'f',
    ...changes,
  };
}
