import { finished } from 'node:stream';
import type { EntryPort, JobAnswer, JobState, JobSubmission } from '../callers/index.js';
import {
  ERROR_ANSWERS,
  type ErrorKind,
  RattanliftError,
  throwError,
  toRattanliftError,
} from '../errors/index.js';
import type { PeerPort, PeerReply } from '../peers/index.js';
import type { PoolSettings } from '../settings/index.js';
import type { FleetTables } from '../tables/index.js';
import { createFingerprint } from './createFingerprint.js';
import { createJob, type Job } from './Job.js';
import { JobRun, type JobRunContext } from './JobRun.js';
import { JobStore } from './JobStore.js';
import type { FailedAnswer, NotRunCheck } from './NotRunCheck.js';

/** Options of {@link Entry}. */
export interface EntryOptions {
  readonly context: JobRunContext;
  readonly fleet: FleetTables;
  readonly peers: PeerPort;
  readonly notRunCheck: Pick<NotRunCheck, 'correct'>;
  /** Gets the current settings of a pool; undefined if the pool does not exist. */
  readonly getPoolSettings: (pool: string) => PoolSettings | undefined;
}

const MAX_STORED_JOB_COUNT = 1_000;
const PEER_TIMEOUT_MS = 3_000;
const JOB_ID_SEPARATOR = '~';

function parseJobState(reply: PeerReply): JobState {
  if (reply.type === 'state') return JSON.parse(reply.json) as JobState;
  if (reply.type === 'refused') throw new RattanliftError({ ...reply });
  return throwError(
    'internal',
    `A peer replied to a job query with the unexpected type ${reply.type}.`,
  );
}

function getOutcome(answer: JobAnswer): 'run' | 'not-run' | 'unknown' {
  return answer.type === 'answered' ? 'run' : answer.outcome;
}

function throwRepeat(kind: ErrorKind | undefined): never {
  return throwError(kind ?? 'already-running', 'This instance has already received this request.');
}

function onAnswerComplete(answer: JobAnswer, action: () => void): void {
  if (answer.type === 'failed') action();
  else finished(answer.body, action);
}

/** Accepts callers' jobs at this instance, runs them and returns their answers. */
export class Entry implements EntryPort {
  private readonly options: EntryOptions;

  private readonly store: JobStore;

  /** Ids of the non-idempotent requests in progress at this instance. */
  private readonly inProgressRequestIds = new Set<string>();

  private runningCount = 0;

  private lastJobNumber = 0;

  private isStopping = false;

  /**
   * Creates the entry of an instance.
   * @param options - Context of job runs, fleet state, pool settings and peers.
   */
  constructor(options: EntryOptions) {
    this.options = options;
    const { clock } = options.context;
    this.store = new JobStore({ clock, maxJobCount: MAX_STORED_JOB_COUNT });
  }

  /** Number of jobs whose final answer is not complete. */
  get unfinishedCount(): number {
    return this.runningCount;
  }

  /** Refuses new jobs from now on; jobs in progress run to completion. */
  stopAcceptingJobs(): void {
    this.isStopping = true;
  }

  /** Removes finished jobs whose retention time is over. */
  tick(): void {
    this.store.tick();
  }

  /** {@inheritDoc EntryPort.run} */
  async run(submission: JobSubmission): Promise<JobAnswer> {
    const { clock, events, metrics } = this.options.context;
    const startedAtMs = clock.monotonicMs();
    const { requestId, pool, jobKind } = submission;
    events.write('requestReceived', { requestId, pool, jobKind });
    this.runningCount += 1;
    const answer = await this.runAndCheckOutcome(submission);
    onAnswerComplete(answer, () => {
      this.runningCount -= 1;
    });
    const tookMs = Math.round(clock.monotonicMs() - startedAtMs);
    metrics.timing('request_ms', tookMs);
    metrics.increment('requests_answered', { outcome: getOutcome(answer) });
    this.logAnswer(answer, pool, tookMs);
    return answer;
  }

  /** {@inheritDoc EntryPort.submit} */
  async submit(submission: JobSubmission): Promise<JobState> {
    this.createJobOrThrow(submission);
    const { requestId, pool } = submission;
    this.lastJobNumber += 1;
    const jobId = `${this.options.context.instance}${JOB_ID_SEPARATOR}${this.lastJobNumber}`;
    const job = this.store.add({ jobId, requestId, pool, phase: 'running' });
    void this.run({ ...submission, signal: job.abort.signal }).then((answer) =>
      this.store.finish(jobId, answer),
    );
    return job.state;
  }

  /** {@inheritDoc EntryPort.getJob} */
  async getJob(jobId: string): Promise<JobState> {
    if (this.ownsJob(jobId)) return this.store.getOrThrow(jobId).state;
    return this.callOwner(jobId, 'get-job');
  }

  /** {@inheritDoc EntryPort.cancelJob} */
  async cancelJob(jobId: string): Promise<JobState> {
    if (!this.ownsJob(jobId)) return this.callOwner(jobId, 'cancel-job');
    const job = this.store.getOrThrow(jobId);
    job.abort.abort();
    return job.state;
  }

  private async runAndCheckOutcome(submission: JobSubmission): Promise<JobAnswer> {
    try {
      const job = this.createJobOrThrow(submission);
      if (job.idempotent) return await this.runJob(job, submission.signal);
      const answer = await this.runAtMostOnce(job, submission.signal);
      return answer.type === 'failed' ? await this.checkNotRun(answer, submission) : answer;
    } catch (thrown) {
      const error = toRattanliftError(thrown);
      const { outcome } = ERROR_ANSWERS[error.kind];
      const { requestId } = submission;
      return this.checkNotRun({ type: 'failed', requestId, outcome, error }, submission);
    }
  }

  private async checkNotRun(answer: FailedAnswer, submission: JobSubmission): Promise<JobAnswer> {
    const { isRepeat, missingHeader } = submission;
    // Only a request whose caller set its id and deadline can be a repeat.
    if (missingHeader !== undefined) return answer;
    return this.options.notRunCheck.correct(answer, isRepeat);
  }

  private createJobOrThrow(submission: JobSubmission): Job {
    if (this.isStopping) return throwError('shutting-down', 'This instance is stopping.');
    const settings = this.options.getPoolSettings(submission.pool);
    if (settings === undefined) {
      return throwError('unknown-pool', `There is no pool ${submission.pool}.`, { field: 'pool' });
    }
    if (submission.deadlineAtMs <= this.options.context.clock.wallMs()) {
      return throwError('deadline-past', 'The deadline has passed already.', {
        field: 'Rattanlift-Deadline-Ms',
      });
    }
    return createJob(submission, settings, createFingerprint(submission));
  }

  /**
   * Runs a non-idempotent job unless this instance has already received its request.
   *
   * Without this check, a repeat would run while the first attempt is in progress here, or after it
   * ended with an outcome that is not recorded in the log yet. The claim belongs to this instance,
   * so the pool's home would accept the repeat.
   */
  private async runAtMostOnce(job: Job, signal: AbortSignal): Promise<JobAnswer> {
    const { requestId } = job;
    const pending = this.options.context.reporter.getPending(requestId);
    if (pending !== undefined) throwRepeat(pending.outcome === 'run' ? 'already-run' : undefined);
    if (this.inProgressRequestIds.has(requestId)) throwRepeat(undefined);
    this.inProgressRequestIds.add(requestId);
    const answer = await this.runJob(job, signal);
    onAnswerComplete(answer, () => this.inProgressRequestIds.delete(requestId));
    return answer;
  }

  private async runJob(job: Job, signal: AbortSignal): Promise<JobAnswer> {
    const { clock } = this.options.context;
    const expiry = AbortSignal.timeout(Math.max(1, job.deadlineAtMs - clock.wallMs()));
    return new JobRun(this.options.context, job, AbortSignal.any([signal, expiry])).run();
  }

  private ownsJob(jobId: string): boolean {
    return jobId.startsWith(`${this.options.context.instance}${JOB_ID_SEPARATOR}`);
  }

  private async callOwner(jobId: string, type: 'get-job' | 'cancel-job'): Promise<JobState> {
    const owner = jobId.slice(0, jobId.lastIndexOf(JOB_ID_SEPARATOR));
    const row = this.options.fleet.instances.get(owner);
    if (row === undefined || row.state !== 'joined') {
      return throwError('unknown-job', `No joined instance owns the job ${jobId}.`);
    }
    const address = { instance: row.instance, host: row.host, port: row.peerPort };
    const reply = await this.options.peers.call(address, { type, jobId }, PEER_TIMEOUT_MS);
    return parseJobState(reply);
  }

  private logAnswer(answer: JobAnswer, pool: string, tookMs: number): void {
    const { events } = this.options.context;
    const { requestId } = answer;
    const outcome = getOutcome(answer);
    if (answer.type === 'answered') {
      const { vm, httpStatus } = answer;
      events.write('requestAnswered', { requestId, pool, vm, httpStatus, outcome, tookMs });
      return;
    }
    const { kind, message: reason } = answer.error;
    const event = outcome === 'not-run' ? 'requestRefused' : 'requestAnswered';
    events.write(event, { requestId, pool, kind, reason, outcome, tookMs });
  }
}
