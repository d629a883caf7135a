import type { Outcome } from '../errors/index.js';
import type { GrantReply, GrantResult } from '../peers/index.js';
import type { FinishReport, FinishReporter } from './FinishReporter.js';
import type { GrantKeeper } from './GrantKeeper.js';
import type { Job } from './Job.js';

/** Options of {@link GrantReports}. */
export interface GrantReportsOptions {
  readonly job: Pick<Job, 'requestId' | 'pool' | 'jobKind' | 'idempotent'>;
  readonly keeper: Pick<GrantKeeper, 'remove'>;
  readonly reporter: Pick<FinishReporter, 'report'>;
}

/** Tells the home how the grants of one job ended, and settles the job's claim once. */
export class GrantReports {
  private readonly options: GrantReportsOptions;

  /** Whether the request may stand on the log as claimed by this instance. */
  private isClaimed = false;

  private lastVm = '';

  /**
   * Prepares the reports of a job without a grant.
   * @param options - The job, and where its grants are kept and told of.
   */
  constructor(options: GrantReportsOptions) {
    this.options = options;
  }

  /**
   * Takes note of a grant; the home has claimed the request for it where it must run at most once.
   * @param grant - The grant.
   */
  noteGranted(grant: GrantReply): void {
    this.isClaimed ||= !this.options.job.idempotent;
    this.lastVm = grant.vm;
  }

  /**
   * Ends a grant whose attempt settles the request.
   * @param grant - The grant.
   * @param result - How its use ended.
   * @param outcome - What became of the request.
   * @param ranMs - How long it ran, in milliseconds.
   */
  endGrant(grant: GrantReply, result: GrantResult, outcome: Outcome, ranMs: number): void {
    this.options.keeper.remove(grant.grantId);
    const { grantId } = grant;
    this.sendReport({ grantId, result, outcome, ranMs, isClaimed: this.isClaimed });
    this.isClaimed = false;
  }

  /**
   * Ends a grant after which the request goes on, or is settled by {@link settle}.
   * @param grant - The grant.
   * @param result - How its use ended.
   * @param ranMs - How long it ran, in milliseconds.
   */
  reportAttempt({ grantId }: GrantReply, result: GrantResult, ranMs: number): void {
    this.sendReport({ grantId, result, outcome: 'not-run', ranMs, isClaimed: false });
  }

  /**
   * Settles the claim of a request that has got its final answer without one from a target. Only
   * the last attempt settles: a settlement as not run frees the id, and one that belongs to an
   * earlier attempt would free it while a later attempt runs.
   * @param attemptId - Id of the last attempt.
   * @param outcome - What became of the request.
   */
  settle(attemptId: string, outcome: Outcome): void {
    if (!this.isClaimed) return;
    const grantId = `${attemptId}!`;
    this.sendReport({ grantId, result: 'not-started', outcome, ranMs: 0, isClaimed: true });
    this.isClaimed = false;
  }

  private sendReport(
    end: Pick<FinishReport, 'grantId' | 'result' | 'outcome' | 'ranMs' | 'isClaimed'>,
  ): void {
    const { requestId, pool, jobKind } = this.options.job;
    const vm = this.lastVm;
    this.options.reporter.report({ type: 'finish-grant', pool, requestId, jobKind, vm, ...end });
  }
}
