import type { EventLog } from '../logging/index.js';
import type { GrantRequest, PeerReply } from '../peers/index.js';
import type { ExplainLog } from './ExplainLog.js';
import type { Refusal } from './Refusal.js';

/** Options of {@link WaitingRequests}. */
export interface WaitingRequestsOptions {
  readonly events: EventLog;
  readonly explainLog: ExplainLog;
}

/** A request for a slot whose entry instance has no answer yet. */
export interface WaitingRequest {
  readonly entry: string;
  readonly request: GrantRequest;
  /** When it came, by the monotonic clock. */
  readonly enteredAtMs: number;
}

interface Waiting extends WaitingRequest {
  readonly reply: (reply: PeerReply) => void;
}

/** Requests for slots of a pool that wait for their answer, queued or placed. */
export class WaitingRequests {
  private readonly options: WaitingRequestsOptions;

  private readonly byAttempt = new Map<string, Waiting>();

  /**
   * Starts without requests.
   * @param options - Where refusals are told.
   */
  constructor(options: WaitingRequestsOptions) {
    this.options = options;
  }

  /**
   * Adds a request.
   * @param waiting - The request.
   * @returns Its answer, once there is one.
   */
  add(waiting: WaitingRequest): Promise<PeerReply> {
    return new Promise((reply) => {
      this.byAttempt.set(waiting.request.attemptId, { ...waiting, reply });
    });
  }

  /**
   * Gets a request.
   * @param attemptId - Id of the attempt.
   * @returns The request, or undefined where it is answered or unknown.
   */
  get(attemptId: string): WaitingRequest | undefined {
    return this.byAttempt.get(attemptId);
  }

  /**
   * Tells whether a request waits.
   * @param attemptId - Id of the attempt.
   * @returns Whether it has no answer yet.
   */
  has(attemptId: string): boolean {
    return this.byAttempt.has(attemptId);
  }

  /**
   * Answers a request; nothing happens where it is answered already.
   * @param attemptId - Id of the attempt.
   * @param reply - The answer.
   */
  answer(attemptId: string, reply: PeerReply): void {
    const waiting = this.byAttempt.get(attemptId);
    this.byAttempt.delete(attemptId);
    waiting?.reply(reply);
  }

  /**
   * Answers every request.
   * @param reply - The answer.
   */
  answerAll(reply: PeerReply): void {
    Array.from(this.byAttempt.keys()).forEach((attemptId) => this.answer(attemptId, reply));
  }

  /**
   * Refuses a request and tells of it.
   * @param attemptId - Id of the attempt.
   * @param refusal - Why.
   */
  refuse(attemptId: string, refusal: Refusal): void {
    const waiting = this.byAttempt.get(attemptId);
    if (waiting !== undefined) this.tellRefusal(waiting.request, refusal);
    this.answer(attemptId, refusal);
  }

  /**
   * Tells of a refusal.
   * @param request - What is refused.
   * @param refusal - Why.
   */
  tellRefusal(request: GrantRequest, refusal: Refusal): void {
    const { requestId, pool, team, jobKind } = request;
    const { kind, message: reason } = refusal;
    const { events, explainLog } = this.options;
    events.write('jobRefused', { requestId, pool, team, jobKind, kind, reason });
    explainLog.note(requestId, `refused (${kind}): ${reason}`);
  }
}
