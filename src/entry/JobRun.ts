import { finished } from 'node:stream';
import type { JobAnswer } from '../callers/index.js';
import { ERROR_ANSWERS, type ErrorKind, type Outcome, RattanliftError } from '../errors/index.js';
import { GRANT_DURATION_MS } from '../home/index.js';
import type { EventLog } from '../logging/index.js';
import type { Metrics } from '../metrics/index.js';
import type { GrantReply, GrantResult, PeerReply } from '../peers/index.js';
import type { TargetPort, TaskResult } from '../targets/index.js';
import { assertNever, type Clock } from '../utils/index.js';
import { createTaskRequest } from './createTaskRequest.js';
import { createUsedGrant } from './createUsedGrant.js';
import { findStrongestOutcome } from './findStrongestOutcome.js';
import type { FinishReporter } from './FinishReporter.js';
import { GrantRequester } from './GrantRequester.js';
import type { GrantRenewer } from './GrantRenewer.js';
import { JobGrantReporter } from './JobGrantReporter.js';
import type { HomeRouter } from './HomeRouter.js';
import type { Job } from './Job.js';
import type { RetryBudget } from './RetryBudget.js';

/** Dependencies that all job runs of an instance share. */
export interface JobRunContext {
  readonly instance: string;
  readonly router: HomeRouter;
  readonly grantRenewer: GrantRenewer;
  readonly reporter: FinishReporter;
  readonly targets: TargetPort;
  readonly retryBudget: RetryBudget;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Creates a unique attempt id. */
  readonly createAttemptId: (requestId: string) => string;
  /** Waits until a pool may have a new home. */
  readonly waitForHome: (pool: string, signal: AbortSignal) => Promise<void>;
}

type AnsweringResult = Extract<TaskResult, { readonly type: 'answering' }>;

type AttemptEnd =
  | { readonly type: 'final'; readonly answer: JobAnswer }
  | { readonly type: 'again'; readonly error: RattanliftError; readonly excludedVm?: string };

const MAX_ATTEMPT_COUNT = 4;
/** Safety margin before a grant's end; within it, nothing is sent to the target. */
const GRANT_SAFETY_MARGIN_MS = 500;
/** How long a request waits for a pool that has no home. */
const HOME_WAIT_MS = 2_000;
const SERVER_ERROR_STATUS = 500;

function endByExpiry(): AttemptEnd {
  const message = 'The grant expired before it was used.';
  return { type: 'again', error: new RattanliftError({ kind: 'home-unavailable', message }) };
}

/** Runs one job: requests grants, makes attempts on targets, and returns the final answer. */
export class JobRun {
  private readonly context: JobRunContext;

  private readonly job: Job;

  private readonly signal: AbortSignal;

  private readonly grantRequester: GrantRequester;

  private readonly jobReporter: JobGrantReporter;

  /** Monotonic time after which the run stops waiting for a pool without a home. */
  private readonly homeWaitEndsAtMs: number;

  /** Strongest outcome of the earlier attempts, see {@link findStrongestOutcome}. */
  private earlierOutcome: Outcome = 'not-run';

  private lastAttemptId = '';

  /**
   * Creates a run without starting it.
   * @param context - Shared dependencies.
   * @param job - The job.
   * @param signal - Aborts when the caller goes away, cancels, or its deadline passes.
   */
  constructor(context: JobRunContext, job: Job, signal: AbortSignal) {
    this.context = context;
    this.job = job;
    this.signal = signal;
    const { clock, grantRenewer, reporter, router } = context;
    this.grantRequester = new GrantRequester({ job, router, clock, signal });
    this.jobReporter = new JobGrantReporter({ job, grantRenewer, reporter });
    this.homeWaitEndsAtMs = clock.monotonicMs() + HOME_WAIT_MS;
  }

  /**
   * Runs the job.
   * @returns The final answer; the promise never rejects.
   */
  async run(): Promise<JobAnswer> {
    this.context.retryBudget.deposit();
    const answer = await this.runAttempts(1, []);
    if (answer.type === 'failed') this.jobReporter.settle(this.lastAttemptId, answer.outcome);
    return answer;
  }

  private async runAttempts(
    attemptNumber: number,
    excludedVms: readonly string[],
  ): Promise<JobAnswer> {
    const end = await this.attempt(excludedVms);
    if (end.type === 'final') return end.answer;
    if (this.signal.aborted) return this.fail(end.error);
    const { events, metrics, clock, retryBudget } = this.context;
    // Waits a bounded time for a pool that has no home. No target received the request, so this
    // does not count as a retry, which could overload a target.
    if (end.error.kind === 'home-unavailable') {
      if (clock.monotonicMs() >= this.homeWaitEndsAtMs) return this.fail(end.error);
      return this.runAttempts(attemptNumber, excludedVms);
    }
    if (attemptNumber >= MAX_ATTEMPT_COUNT || !retryBudget.withdraw()) return this.fail(end.error);
    const { requestId, pool } = this.job;
    events.write('requestRetried', { requestId, pool, reason: end.error.message, attemptNumber });
    metrics.increment('retries');
    const nextExcluded = end.excludedVm ? [...excludedVms, end.excludedVm] : excludedVms;
    return this.runAttempts(attemptNumber + 1, nextExcluded);
  }

  private async attempt(excludedVms: readonly string[]): Promise<AttemptEnd> {
    if (this.signal.aborted) return this.endByAbort('not-run');
    const { clock } = this.context;
    this.lastAttemptId = this.context.createAttemptId(this.job.requestId);
    const requestedAtMs = clock.monotonicMs();
    const reply = await this.grantRequester.requestGrant(this.lastAttemptId, excludedVms);
    if (reply instanceof RattanliftError) return this.endWithoutReply(reply);
    if (reply.type !== 'granted') return this.endByRefusal(reply);
    this.jobReporter.recordGrant(reply);
    // If this process was paused, or the reply was delayed, the slot may belong to another request
    // by now. This deadline counts from before the request, so it ends before the home's deadline.
    const deadlineMs = requestedAtMs + reply.heldMs + GRANT_DURATION_MS - GRANT_SAFETY_MARGIN_MS;
    if (this.signal.aborted || clock.monotonicMs() >= deadlineMs) {
      this.grantRequester.withdraw(this.lastAttemptId);
      return this.signal.aborted ? this.endByAbort('not-run') : endByExpiry();
    }
    return this.runOnTarget(reply);
  }

  /** Handles a missing reply: the home may have acted, but nothing was sent to a target. */
  private async endWithoutReply(error: RattanliftError): Promise<AttemptEnd> {
    this.grantRequester.withdraw(this.lastAttemptId);
    if (this.signal.aborted) return this.endByAbort('not-run');
    await this.context.waitForHome(this.job.pool, this.signal);
    const message = `The request to the pool's home failed: ${error.message}`;
    return { type: 'again', error: new RattanliftError({ kind: 'home-unavailable', message }) };
  }

  private async endByRefusal(reply: PeerReply): Promise<AttemptEnd> {
    if (reply.type !== 'refused') {
      const message = `The home replied to a grant request with the unexpected type ${reply.type}.`;
      return this.endWithoutReply(new RattanliftError({ kind: 'internal', message }));
    }
    const { kind, message, retryAtMs } = reply;
    const error = new RattanliftError({ kind, message, retryAtMs });
    if (kind === 'cancelled' && this.signal.aborted) return this.endByAbort('not-run');
    // The home rejects a job that failed on several VMs; only this run knows whether it ran there.
    const outcome = kind === 'target-failed' ? this.earlierOutcome : undefined;
    if (kind !== 'home-unavailable') return { type: 'final', answer: this.fail(error, outcome) };
    await this.context.waitForHome(this.job.pool, this.signal);
    return { type: 'again', error };
  }

  private async runOnTarget(grant: GrantReply): Promise<AttemptEnd> {
    const { job } = this;
    const { clock, events, targets, grantRenewer } = this.context;
    const target = { vm: grant.vm, host: grant.host, port: grant.port };
    const lostController = new AbortController();
    grantRenewer.add(createUsedGrant(job, grant, target, () => lostController.abort()));
    const { requestId, pool, jobKind, team } = job;
    const reason = `granted by the home in term ${grant.term}`;
    events.write('requestRouted', { requestId, pool, vm: grant.vm, jobKind, team, reason });
    const startedAtMs = clock.monotonicMs();
    const signal = AbortSignal.any([this.signal, lostController.signal]);
    const result = await targets.run(target, createTaskRequest(job, grant, { clock, signal }));
    if (result.type !== 'answering') grantRenewer.remove(grant.grantId);
    const ranMs = clock.monotonicMs() - startedAtMs;
    switch (result.type) {
      case 'answering':
        return this.endByAnswer(grant, result, startedAtMs);
      case 'not-started':
        return this.endByTargetRefusal(grant, result.reason, ranMs);
      case 'unknown':
        return this.endByUnknown(grant, result.reason, ranMs);
      default:
        return assertNever(result);
    }
  }

  private endByAnswer(grant: GrantReply, result: AnsweringResult, startedAtMs: number): AttemptEnd {
    const isFailed = result.httpStatus >= SERVER_ERROR_STATUS;
    if (isFailed && this.job.idempotent) return this.endByFailure(grant, result, startedAtMs);
    finished(result.body, (error) => {
      const ranMs = this.context.clock.monotonicMs() - startedAtMs;
      const isComplete = error === undefined || error === null;
      const completeResult: GrantResult = isFailed ? 'failed' : 'run';
      this.jobReporter.endGrant(
        grant,
        isComplete ? completeResult : 'unknown',
        isComplete ? 'run' : 'unknown',
        ranMs,
      );
    });
    const { httpStatus, contentType, body } = result;
    const { requestId } = this.job;
    const { vm } = grant;
    const answer: JobAnswer = { type: 'answered', requestId, vm, httpStatus, contentType, body };
    return { type: 'final', answer };
  }

  private endByFailure(
    grant: GrantReply,
    result: AnsweringResult,
    startedAtMs: number,
  ): AttemptEnd {
    const ranMs = this.context.clock.monotonicMs() - startedAtMs;
    result.body.on('error', () => undefined);
    result.body.resume();
    this.jobReporter.endGrant(grant, 'failed', 'run', ranMs);
    this.earlierOutcome = 'run';
    const message = `The job failed on ${grant.vm} with status ${result.httpStatus}.`;
    const error = new RattanliftError({ kind: 'target-failed', message });
    return { type: 'again', error, excludedVm: grant.vm };
  }

  private endByTargetRefusal(grant: GrantReply, reason: string, ranMs: number): AttemptEnd {
    this.jobReporter.reportAttempt(grant, this.signal.aborted ? 'cancelled' : 'not-started', ranMs);
    if (this.signal.aborted) return this.endByAbort('not-run');
    const message = `${grant.vm} did not start the job: ${reason}.`;
    const error = new RattanliftError({ kind: 'target-refused', message });
    return { type: 'again', error, excludedVm: grant.vm };
  }

  private endByUnknown(grant: GrantReply, reason: string, ranMs: number): AttemptEnd {
    const message = `${grant.vm} did not return a complete answer: ${reason}.`;
    const error = new RattanliftError({ kind: 'target-silent', message });
    if (this.job.idempotent) {
      this.jobReporter.endGrant(
        grant,
        this.signal.aborted ? 'cancelled' : 'unknown',
        'unknown',
        ranMs,
      );
      this.earlierOutcome = findStrongestOutcome(this.earlierOutcome, 'unknown');
      if (this.signal.aborted) return this.endByAbort('unknown');
      return { type: 'again', error, excludedVm: grant.vm };
    }
    // The target received a request that must run at most once, and then stopped answering. The
    // request may have run, so it is not sent again and not reported as not run.
    this.jobReporter.reportAttempt(grant, this.signal.aborted ? 'cancelled' : 'unknown', ranMs);
    return { type: 'final', answer: this.fail(error, 'unknown') };
  }

  private endByAbort(outcome: Outcome): AttemptEnd {
    const isDeadlinePast = this.context.clock.wallMs() >= this.job.deadlineAtMs;
    const kind: ErrorKind = isDeadlinePast ? 'deadline-past' : 'cancelled';
    const message = isDeadlinePast ? 'The deadline has passed.' : 'The job was cancelled.';
    return { type: 'final', answer: this.fail(new RattanliftError({ kind, message }), outcome) };
  }

  private fail(error: RattanliftError, outcome?: Outcome): JobAnswer {
    const { requestId } = this.job;
    const lastOutcome = outcome ?? ERROR_ANSWERS[error.kind].outcome;
    // The answer includes the outcome of earlier attempts. Otherwise, if the first attempt runs
    // and fails and the next one finds no VM, the caller would be told that the job did not run.
    const strongest = findStrongestOutcome(this.earlierOutcome, lastOutcome);
    return { type: 'failed', requestId, outcome: strongest, error };
  }
}
