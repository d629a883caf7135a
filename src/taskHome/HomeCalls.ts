import { setTimeout as sleep } from 'node:timers/promises';
import { ERROR_ANSWERS, RattanliftError, throwError, toRattanliftError } from '../errors/index.js';
import type { EventLog } from '../logging/index.js';
import { measureCall, type Metrics } from '../metrics/index.js';
import type { DurableJobRequest, PeerAddress, PeerPort, PeerReply } from '../peers/index.js';
import type { Clock } from '../utils/index.js';
import { callWithin } from './callWithin.js';
import { HomeCallTrace } from './HomeCallTrace.js';
import type { HomeDirectory } from './HomeDirectory.js';
import type { PoolPartitions } from './PoolPartitions.js';

/** Options of {@link HomeCalls}. */
export interface HomeCallsOptions {
  /** Id of this instance. */
  readonly instance: string;
  readonly peers: PeerPort;
  /** Handles a request for which this instance is the home. */
  readonly handleLocally: (request: DurableJobRequest) => Promise<PeerReply>;
  readonly directory: Pick<HomeDirectory, 'get' | 'refresh'>;
  readonly partitions: PoolPartitions;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly events: EventLog;
}

/** Pause before the next attempt to find a home, in milliseconds; a home opens in about 50. */
const RETRY_PAUSE_MS = 100;
/** Longest wait for one reply, in milliseconds; above the latency of a store at 1 % speed. */
const CALL_WAIT_MS = 1_200;
/** Longest search for a home: a takeover takes about 2.5 s, and callers do not wait longer. */
const HOME_SEARCH_MS = 2_500;

/** Time without a reply of any home, despite calls, after which homes count as silent. */
const SILENT_AFTER_MS = 1_500;

/**
 * Homes that one submission may be sent to without a reply. The first may have ended of the job;
 * without a bound, it would end each instance that becomes the home while the search lasts.
 */
const MAX_UNANSWERED_HOMES = 2;

const RETRYABLE_KINDS: ReadonlySet<string> = new Set(['home-unavailable', 'peer-unavailable']);

/** Outcome of one attempt to call a home. */
export type CallOutcome =
  | { readonly type: 'reply'; readonly reply: PeerReply }
  | {
      readonly type: 'again';
      readonly error: RattanliftError;
      /** What the pause before the next attempt is for. */
      readonly wait: 'noHome' | 'loading' | 'refused';
    }
  | {
      readonly type: 'again';
      readonly error: RattanliftError;
      readonly wait: 'unanswered';
      /** Instance that was called. */
      readonly home: string;
    };

/** Calls the homes of pools, wherever they are. */
export class HomeCalls {
  private readonly options: HomeCallsOptions;

  /** Since when no home has replied to any call; undefined if the last call was replied to. */
  private silentSinceMs: number | undefined;

  /**
   * Creates the calls of an instance.
   * @param options - Directory of the homes, and the means to call them.
   */
  constructor(options: HomeCallsOptions) {
    this.options = options;
  }

  /** Whether calls to homes have had no reply for some time. */
  get areHomesSilent(): boolean {
    const { silentSinceMs } = this;
    if (silentSinceMs === undefined) return false;
    return this.options.clock.monotonicMs() - silentSinceMs > SILENT_AFTER_MS;
  }

  /**
   * Calls the home of a request's pool, and the next home while a home is being replaced.
   * @param request - The request.
   * @returns The reply, which is no refusal.
   * @throws RattanliftError If the home refused, or no home could answer; with an outcome of
   * `not-run` only if the request certainly had no effect.
   */
  call(request: DurableJobRequest): Promise<PeerReply> {
    const { clock, metrics } = this.options;
    return measureCall({
      metrics,
      clock,
      timer: 'durable_answer_ms',
      call: request.type,
      run: () => this.callAndTrace(request),
      describeError: (thrown) => toRattanliftError(thrown).kind,
    });
  }

  private async callAndTrace(request: DurableJobRequest): Promise<PeerReply> {
    const { clock, events, partitions } = this.options;
    const { pool } = request;
    const jobId = 'jobId' in request ? request.jobId : undefined;
    const partition = partitions.getPartition(pool);
    const fields = { call: request.type, pool, partition, jobId };
    const trace = new HomeCallTrace({ clock, events, fields });
    try {
      return await this.callWithRetries(request, trace);
    } finally {
      trace.end();
    }
  }

  /** Calls the home of a pool, and retries with the next home while a home is being replaced. */
  private async callWithRetries(
    request: DurableJobRequest,
    trace: HomeCallTrace,
  ): Promise<PeerReply> {
    const { clock } = this.options;
    const giveUpAtMs = clock.monotonicMs() + HOME_SEARCH_MS;
    const unanswered = new Set<string>();
    let isInDoubt = false;
    let last: CallOutcome = await this.attempt(request, trace);
    while (last.type === 'again' && clock.monotonicMs() < giveUpAtMs) {
      isInDoubt ||= ERROR_ANSWERS[last.error.kind].outcome !== 'not-run';
      if (last.wait === 'unanswered') unanswered.add(last.home);
      trace.begin(last.wait);
      const paused = sleep(RETRY_PAUSE_MS).then(() => trace.begin('refresh'));
      // eslint-disable-next-line no-await-in-loop -- a try follows the one before it
      await Promise.all([this.refreshUntil(giveUpAtMs), paused]);
      if (!this.mayCallNextHome(request, unanswered)) break;
      // eslint-disable-next-line no-await-in-loop -- a try follows the one before it
      last = await this.attempt(request, trace);
    }
    if (last.type === 'reply') {
      trace.noteReply();
      return this.unwrapReply(last.reply, isInDoubt);
    }
    // `not-run` must be certain, but an earlier unanswered attempt may have stored the job.
    if (isInDoubt) throwError('outcome-unknown', 'No home has answered.', { cause: last.error });
    throw last.error;
  }

  /** Tells whether a request may be sent to the present home, by the homes that did not reply. */
  private mayCallNextHome(
    { type, pool }: DurableJobRequest,
    unanswered: ReadonlySet<string>,
  ): boolean {
    const { directory, partitions } = this.options;
    if (type !== 'submit-durable-job' || unanswered.size < MAX_UNANSWERED_HOMES) return true;
    const home = directory.get(partitions.getPartition(pool));
    return home === undefined || unanswered.has(home.instance);
  }

  /** Looks for the home, for no longer than the search lasts; a silent store takes seconds. */
  private async refreshUntil(giveUpAtMs: number): Promise<void> {
    const { clock, directory } = this.options;
    const leftMs = Math.max(0, giveUpAtMs - clock.monotonicMs());
    await Promise.race([directory.refresh(), sleep(leftMs)]);
  }

  /**
   * Calls the home of a request's pool once.
   * @param request - The request.
   * @param trace - Measures what the call waits for, if anybody wants to know.
   * @returns The reply, which may be a refusal, or why the call may be tried again.
   * @throws RattanliftError If another try would have the same result.
   */
  async attempt(request: DurableJobRequest, trace?: HomeCallTrace): Promise<CallOutcome> {
    trace?.noteAttempt();
    const outcome = await this.callHome(request, trace);
    // A home that is still reading is at work. If it counted as silent, small instances would join
    // the group, and the partitions would be assigned anew before any of them has been read.
    const isHeard = outcome.type === 'reply' || outcome.wait === 'loading';
    if (isHeard) this.silentSinceMs = undefined;
    else this.silentSinceMs ??= this.options.clock.monotonicMs();
    return outcome;
  }

  private async callHome(request: DurableJobRequest, trace?: HomeCallTrace): Promise<CallOutcome> {
    const { instance, directory, partitions, handleLocally, peers } = this.options;
    const home: PeerAddress | undefined = directory.get(partitions.getPartition(request.pool));
    if (home === undefined) {
      const message = 'No home is known.';
      const error = new RattanliftError({ kind: 'home-unavailable', message });
      return { type: 'again', error, wait: 'noHome' };
    }
    const isLocal = home.instance === instance;
    trace?.noteHome(home.instance, isLocal);
    try {
      const reply = isLocal
        ? await callWithin(handleLocally(request), CALL_WAIT_MS)
        : await peers.call(home, request, CALL_WAIT_MS);
      const isRetryable = reply.type === 'refused' && RETRYABLE_KINDS.has(reply.kind);
      if (!isRetryable) return { type: 'reply', reply };
      const { isHomeLoading = false, kind, message } = reply;
      const error = new RattanliftError({ kind, message });
      return { type: 'again', error, wait: isHomeLoading ? 'loading' : 'refused' };
    } catch (thrown) {
      const error = toRattanliftError(thrown);
      if (!RETRYABLE_KINDS.has(error.kind)) throw error;
      return { type: 'again', error, wait: 'unanswered', home: home.instance };
    }
  }

  private unwrapReply(reply: PeerReply, isInDoubt: boolean): PeerReply {
    if (reply.type !== 'refused') return reply;
    const { kind, message, retryAfterMs } = reply;
    const isNotRun = ERROR_ANSWERS[kind].outcome === 'not-run';
    if (isInDoubt && isNotRun) throwError('outcome-unknown', message);
    if (retryAfterMs === undefined) throwError(kind, message);
    return throwError(kind, message, { retryAtMs: this.options.clock.wallMs() + retryAfterMs });
  }
}
