import type { EventLog } from '../logging/index.js';
import type { GrantRequest, PeerReply } from '../peers/index.js';
import type { ExplainLog } from './ExplainLog.js';
import type { Refusal } from './Refusal.js';

/** Options of {@link WaitingRequests}. */
export interface WaitingRequestsOptions {
  readonly events: EventLog;
  readonly explainLog: ExplainLog;
}

/** A request for a slot that has not been answered yet. */
export interface WaitingRequest {
  readonly entry: string;
  readonly request: GrantRequest;
  /** Monotonic time at which the request arrived. */
  readonly enteredAtMs: number;
}

interface PendingReply extends WaitingRequest {
  readonly reply: (reply: PeerReply) => void;
}

/** Requests for slots of a pool that are not answered yet, whether queued or placed. */
export class WaitingRequests {
  private readonly options: WaitingRequestsOptions;

  private readonly byAttempt = new Map<string, PendingReply>();

  /**
   * Creates an empty collection.
   * @param options - Logs that record refusals.
   */
  constructor(options: WaitingRequestsOptions) {
    this.options = options;
  }

  /**
   * Adds a request.
   * @param waiting - The request.
   * @returns The reply, once the request is answered.
   */
  add(waiting: WaitingRequest): Promise<PeerReply> {
    return new Promise((reply) => {
      this.byAttempt.set(waiting.request.attemptId, { ...waiting, reply });
    });
  }

  /**
   * Gets a request.
   * @param attemptId - Id of the attempt.
   * @returns The request, or undefined if it is answered or unknown.
   */
  get(attemptId: string): WaitingRequest | undefined {
    return this.byAttempt.get(attemptId);
  }

  /**
   * Checks whether a request is waiting.
   * @param attemptId - Id of the attempt.
   * @returns Whether it is not answered yet.
   */
  has(attemptId: string): boolean {
    return this.byAttempt.has(attemptId);
  }

  /**
   * Answers a request; does nothing if it is already answered or unknown.
   * @param attemptId - Id of the attempt.
   * @param reply - The reply.
   */
  answer(attemptId: string, reply: PeerReply): void {
    const waiting = this.byAttempt.get(attemptId);
    this.byAttempt.delete(attemptId);
    waiting?.reply(reply);
  }

  /**
   * Answers every waiting request.
   * @param reply - The reply.
   */
  answerAll(reply: PeerReply): void {
    Array.from(this.byAttempt.keys()).forEach((attemptId) => this.answer(attemptId, reply));
  }

  /**
   * Refuses a waiting request and reports the refusal.
   * @param attemptId - Id of the attempt.
   * @param refusal - The refusal.
   */
  refuse(attemptId: string, refusal: Refusal): void {
    const waiting = this.byAttempt.get(attemptId);
    if (waiting !== undefined) this.reportRefusal(waiting.request, refusal);
    this.answer(attemptId, refusal);
  }

  /**
   * Reports a refusal to the event log and the explain log.
   * @param request - The refused request.
   * @param refusal - The refusal.
   */
  reportRefusal(request: GrantRequest, refusal: Refusal): void {
    const { requestId, pool, team, jobKind } = request;
    const { kind, message: reason } = refusal;
    const { events, explainLog } = this.options;
    events.write('jobRefused', { requestId, pool, team, jobKind, kind, reason });
    explainLog.note(requestId, `refused (${kind}): ${reason}`);
  }
}
