import { type RattanliftError, toRattanliftError } from '../errors/index.js';
import type { PeerReply } from '../peers/index.js';
import type { Clock } from '../utils/index.js';
import { createGrantRequest } from './createGrantRequest.js';
import type { HomeRouter } from './HomeRouter.js';
import type { Job } from './Job.js';

/** Options of {@link GrantRequester}. */
export interface GrantRequesterOptions {
  readonly job: Job;
  readonly router: Pick<HomeRouter, 'call'>;
  readonly clock: Clock;
  /** Ends the job when it aborts; a pending grant request is then withdrawn. */
  readonly signal: AbortSignal;
}

/** Time past the caller's deadline for which the home's reply is awaited. */
const HOME_REPLY_GRACE_MS = 500;

/** Requests grants from the home of a job's pool, and returns unused grants. */
export class GrantRequester {
  private readonly options: GrantRequesterOptions;

  /**
   * Creates a requester for one job.
   * @param options - The job and the router to its home.
   */
  constructor(options: GrantRequesterOptions) {
    this.options = options;
  }

  /**
   * Requests a grant; if the job ends before the reply, the request is withdrawn at once.
   * @param attemptId - Id of the attempt.
   * @param excludedVms - VMs that already failed the job.
   * @returns The home's reply, or the error that prevented it; the promise never rejects.
   */
  async requestGrant(
    attemptId: string,
    excludedVms: readonly string[],
  ): Promise<PeerReply | RattanliftError> {
    const { job, clock, router, signal } = this.options;
    const waitMs = Math.max(0, job.deadlineAtMs - clock.wallMs()) + HOME_REPLY_GRACE_MS;
    const withdraw = (): void => this.withdraw(attemptId);
    signal.addEventListener('abort', withdraw, { once: true });
    try {
      const request = createGrantRequest(job, attemptId, excludedVms);
      return await router.call(job.pool, request, waitMs);
    } catch (thrown) {
      return toRattanliftError(thrown, 'home-unavailable');
    } finally {
      signal.removeEventListener('abort', withdraw);
    }
  }

  /**
   * Withdraws a grant request, or returns its grant if it is granted but unused.
   * @param attemptId - Id of the attempt.
   */
  withdraw(attemptId: string): void {
    const { job, router } = this.options;
    const { pool } = job;
    const request = { type: 'cancel-request', pool, attemptId } as const;
    void router.call(pool, request, HOME_REPLY_GRACE_MS).catch(() => undefined);
  }
}
