import type { Rng } from '../../src/utils/index.js';
import type { DemoUser } from './demoUsers.js';

/** A job that the demo sends. */
export interface DemoJob {
  readonly requestId: string;
  readonly user: string;
  /** Pool as `team/pool`. */
  readonly pool: string;
  readonly jobKind: string;
  readonly urgency: string;
  readonly idempotent: boolean;
  readonly runMs: number;
}

/** A kind of job that some pool of the demo takes. */
export type DemoJobKind = Omit<DemoJob, 'requestId'>;

const RUN_TIME_SCALE = 0.02;
const MIN_RUN_MS = 20;
const MAX_RUN_MS = 1_000;

/**
 * Lists the kinds of job of a user's pools, with run times scaled down for the demo.
 * @param user - The user.
 * @returns The kinds.
 */
export function listJobKinds(user: DemoUser): readonly DemoJobKind[] {
  return user.files.flatMap(({ settings }) =>
    Object.entries(settings.pools).flatMap(([poolName, pool]) =>
      Object.entries(pool.jobKinds).map(([jobKind, declared]) => ({
        user: user.name,
        pool: `${settings.team}/${poolName}`,
        jobKind,
        urgency: declared.urgency,
        idempotent: declared.idempotent,
        runMs: Math.min(MAX_RUN_MS, Math.max(MIN_RUN_MS, declared.expectedRunMs * RUN_TIME_SCALE)),
      })),
    ),
  );
}

/**
 * Draws a job.
 * @param kinds - Kinds to draw from.
 * @param rng - Source of randomness.
 * @param number - Number of the job.
 * @returns The job.
 */
export function drawJob(kinds: readonly DemoJobKind[], rng: Rng, number: number): DemoJob {
  const kind = kinds[Math.floor(rng.next() * kinds.length)]!;
  return { ...kind, requestId: `demo-${number}` };
}
