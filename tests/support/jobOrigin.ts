import type { DurableJobOrigin } from '../../src/callers/index.js';

/** Where a job comes from that is read in tests: its id, its queue and its time. */
export const JOB_ORIGIN: DurableJobOrigin = {
  jobId: '5c0e7a21d94b36f8',
  nowMs: 5,
  terms: {
    queue: 'q',
    pool: 'p',
    priority: 0,
    maxAttempts: 1,
    stretch: 1,
    targetDurationMs: 0,
  },
};
