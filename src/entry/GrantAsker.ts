import { type RattanliftError, toRattanliftError } from '../errors/index.js';
import type { PeerReply } from '../peers/index.js';
import type { Clock } from '../utils/index.js';
import { createGrantRequest } from './createGrantRequest.js';
import type { HomeRouter } from './HomeRouter.js';
import type { Job } from './Job.js';

/** Options of {@link GrantAsker}. */
export interface GrantAskerOptions {
  readonly job: Job;
  readonly router: Pick<HomeRouter, 'ask'>;
  readonly clock: Clock;
  /** Ends the job, and with it every request for a grant. */
  readonly signal: AbortSignal;
}

/** How much longer than the caller's deadline the home's answer is awaited. */
const HOME_GRACE_MS = 500;

/** Asks the home of a job's pool for grants, and gives back those that are not used. */
export class GrantAsker {
  private readonly options: GrantAskerOptions;

  /**
   * Prepares to ask for one job.
   * @param options - The job and the way to its home.
   */
  constructor(options: GrantAskerOptions) {
    this.options = options;
  }

  /**
   * Asks for a grant; the request is withdrawn at once where the job ends meanwhile.
   * @param attemptId - Id of the attempt.
   * @param excludedVms - VMs that already failed the job.
   * @returns The home's reply, or why there is none; it never rejects.
   */
  async ask(
    attemptId: string,
    excludedVms: readonly string[],
  ): Promise<PeerReply | RattanliftError> {
    const { job, clock, router, signal } = this.options;
    const waitMs = Math.max(0, job.deadlineAtMs - clock.wallMs()) + HOME_GRACE_MS;
    const withdraw = (): void => this.withdraw(attemptId);
    signal.addEventListener('abort', withdraw, { once: true });
    try {
      const request = createGrantRequest(job, attemptId, excludedVms);
      return await router.ask(job.pool, request, waitMs);
    } catch (thrown) {
      return toRattanliftError(thrown, 'home-unavailable');
    } finally {
      signal.removeEventListener('abort', withdraw);
    }
  }

  /**
   * Withdraws a request, or the grant that it got and that is not used.
   * @param attemptId - Id of the attempt.
   */
  withdraw(attemptId: string): void {
    const { job, router } = this.options;
    const { pool } = job;
    const request = { type: 'cancel-request', pool, attemptId } as const;
    void router.ask(pool, request, HOME_GRACE_MS).catch(() => undefined);
  }
}
