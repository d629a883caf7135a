import type { Outcome } from '../errors/index.js';
import type { GrantReply, GrantResult } from '../peers/index.js';
import type { FinishReport, FinishReporter } from './FinishReporter.js';
import type { GrantRenewer } from './GrantRenewer.js';
import type { Job } from './Job.js';

/** Options of {@link JobGrantReporter}. */
export interface JobGrantReporterOptions {
  readonly job: Pick<Job, 'requestId' | 'pool' | 'jobKind' | 'idempotent'>;
  readonly grantRenewer: Pick<GrantRenewer, 'remove'>;
  readonly reporter: Pick<FinishReporter, 'report'>;
}

/** Reports to the home how the grants of one job ended, and settles the job's claim once. */
export class JobGrantReporter {
  private readonly options: JobGrantReporterOptions;

  /** Whether the log may contain an open claim of this instance for the request. */
  private isClaimed = false;

  private lastVm = '';

  /**
   * Creates a reporter for a job that has no grant yet.
   * @param options - The job, the renewer of its grants, and the reporter to the homes.
   */
  constructor(options: JobGrantReporterOptions) {
    this.options = options;
  }

  /**
   * Records a grant. The home has claimed the request if it must run at most once.
   * @param grant - The grant.
   */
  recordGrant(grant: GrantReply): void {
    this.isClaimed ||= !this.options.job.idempotent;
    this.lastVm = grant.vm;
  }

  /**
   * Reports the end of a grant whose attempt settles the request.
   * @param grant - The grant.
   * @param result - How its use ended.
   * @param outcome - Outcome of the request.
   * @param ranMs - How long it ran, in milliseconds.
   */
  endGrant(grant: GrantReply, result: GrantResult, outcome: Outcome, ranMs: number): void {
    this.options.grantRenewer.remove(grant.grantId);
    const { grantId } = grant;
    this.sendReport({ grantId, result, outcome, ranMs, isClaimed: this.isClaimed });
    this.isClaimed = false;
  }

  /**
   * Reports the end of a grant whose request continues, or is settled by {@link settle}.
   * @param grant - The grant.
   * @param result - How its use ended.
   * @param ranMs - How long it ran, in milliseconds.
   */
  reportAttempt({ grantId }: GrantReply, result: GrantResult, ranMs: number): void {
    this.sendReport({ grantId, result, outcome: 'not-run', ranMs, isClaimed: false });
  }

  /**
   * Settles the claim of a request whose final answer does not come from a target. Only the last
   * attempt settles the claim: a settlement as not run frees the request id, so the settlement of
   * an earlier attempt would free it while a later attempt runs.
   * @param attemptId - Id of the last attempt.
   * @param outcome - Outcome of the request.
   */
  settle(attemptId: string, outcome: Outcome): void {
    if (!this.isClaimed) return;
    const grantId = `${attemptId}!`;
    this.sendReport({ grantId, result: 'not-started', outcome, ranMs: 0, isClaimed: true });
    this.isClaimed = false;
  }

  private sendReport(
    ending: Pick<FinishReport, 'grantId' | 'result' | 'outcome' | 'ranMs' | 'isClaimed'>,
  ): void {
    const { requestId, pool, jobKind } = this.options.job;
    const vm = this.lastVm;
    this.options.reporter.report({ type: 'finish-grant', pool, requestId, jobKind, vm, ...ending });
  }
}
