import type { Outcome } from '../errors/index.js';
import type { LogWriter } from '../log/index.js';
import type { EventLog } from '../logging/index.js';
import type { GrantRequest } from '../peers/index.js';
import type { ClaimRow, FleetTables } from '../tables/index.js';
import { type Clock, KeyedOnce } from '../utils/index.js';
import { type Refusal, refuse } from './Refusal.js';

/** Options of {@link ClaimDesk}. */
export interface ClaimDeskOptions {
  readonly pool: string;
  readonly instance: string;
  /** Term in which this instance decides for the pool. */
  readonly term: number;
  readonly fleet: FleetTables;
  readonly writer: Pick<LogWriter, 'write'>;
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Longest wait until a claim is read back; the caller is told `not run` after that. */
const CLAIM_WAIT_MS = 3_000;
/** How long a claim is kept after the caller's deadline, for repeats that come late. */
const CLAIM_KEPT_AFTER_DEADLINE_MS = 3_600_000;

/** Records at the log which non-idempotent requests may have been sent, so that none is twice. */
export class ClaimDesk {
  private readonly options: ClaimDeskOptions;

  /** Requests that were refused after their claim was sent off, and never given to a target. */
  private readonly unsent = new Set<string>();

  private readonly settling = new KeyedOnce();

  /**
   * Creates the desk of a pool's home.
   * @param options - Pool, term, and what the desk works on.
   */
  constructor(options: ClaimDeskOptions) {
    this.options = options;
  }

  /**
   * Tells whether an earlier attempt of a request stands in the way of a new one.
   * @param entry - Instance that asks.
   * @param request - What it asks.
   * @param isUnderWay - Whether the request waits for or holds a grant here.
   * @returns The refusal, or undefined where the request may go on.
   */
  findObstacle(entry: string, request: GrantRequest, isUnderWay: boolean): Refusal | undefined {
    const claim = this.options.fleet.claims.get(request.requestId);
    if (claim !== undefined && claim.fingerprint !== request.fingerprint) {
      return refuse('request-id-reused', 'Another request has used this id before.');
    }
    if (isUnderWay) return refuse('already-running', 'The request is being handled already.');
    if (claim === undefined) return undefined;
    return this.findObstacleOfClaim(entry, claim);
  }

  /**
   * Writes the claim of a request and waits until it is read back.
   * @param entry - Instance that will send the request on.
   * @param request - The request.
   * @returns A refusal, in which case nothing may be sent, or undefined once the claim stands.
   */
  async claim(entry: string, request: GrantRequest): Promise<Refusal | undefined> {
    const { fleet, clock, writer } = this.options;
    const known = fleet.claims.get(request.requestId);
    if (known !== undefined && known.outcome === undefined && known.entry === entry) {
      return this.continueClaim(request);
    }
    const deadlineMs = clock.monotonicMs() + CLAIM_WAIT_MS;
    const record = this.createRecord(entry, request);
    const result = await writer.write(record, { deadlineMs, failsFast: true });
    switch (result.type) {
      case 'accepted':
        if (!result.refusedRequestIds?.includes(request.requestId)) return undefined;
        return this.refuseClaim(request, 'already-running', 'Another attempt was claimed first.');
      case 'rejected':
        return this.refuseClaim(request, 'home-unavailable', 'The pool has got another home.');
      default:
        // The claim may stand on the log although nothing is sent: remembered, so that a repeat
        // is neither blocked nor told that its outcome is unknown.
        this.unsent.add(request.requestId);
        return this.refuseClaim(request, 'log-unavailable', 'The claim could not be recorded.');
    }
  }

  /**
   * Notes that a claimed request was withdrawn before its grant was handed out.
   * @param requestId - The request.
   */
  noteUnsent(requestId: string): void {
    if (this.options.fleet.claims.has(requestId)) this.unsent.add(requestId);
  }

  /**
   * Records how a claimed request ended.
   * @param requestId - The request.
   * @param outcome - What became of it.
   * @returns Whether the log has taken it.
   */
  async settle(requestId: string, outcome: Outcome): Promise<boolean> {
    const { pool, instance, term, writer, clock } = this.options;
    const result = await writer.write(
      {
        type: 'requests-settled',
        pool,
        instance,
        term,
        settlements: [{ requestId, outcome }],
      },
      { deadlineMs: clock.monotonicMs() + CLAIM_WAIT_MS },
    );
    return result.type === 'accepted';
  }

  /** Settles claims that turned out to stand on the log although nothing was sent. */
  tick(): void {
    Array.from(this.unsent)
      .filter((requestId) => this.options.fleet.claims.get(requestId)?.outcome === undefined)
      .filter((requestId) => this.options.fleet.claims.has(requestId))
      .forEach((requestId) => {
        this.settling.start(requestId, async () => {
          if (await this.settle(requestId, 'not-run')) this.unsent.delete(requestId);
        });
      });
  }

  private findObstacleOfClaim(entry: string, claim: ClaimRow): Refusal | undefined {
    switch (claim.outcome) {
      case 'not-run':
        return undefined;
      case 'run':
        return refuse('already-run', 'The request has run already.');
      case 'unknown':
        return refuse('outcome-unknown', 'Whether the request has run cannot be told.');
      default:
        return this.findObstacleOfOpenClaim(entry, claim);
    }
  }

  /**
   * Failure: the entry instance was killed between claim and answer, and the caller repeats the
   * request elsewhere. Whether the target got it cannot be known, so it is never sent again. The
   * same entry instance may go on, since it knows that it has not sent the request.
   */
  private findObstacleOfOpenClaim(entry: string, claim: ClaimRow): Refusal | undefined {
    if (claim.entry === entry) return undefined;
    const isEntryJoined = this.options.fleet.instances.get(claim.entry)?.state === 'joined';
    return isEntryJoined
      ? refuse('already-running', 'The request is being handled by another instance.')
      : refuse('outcome-unknown', 'The instance that handled the request is gone.');
  }

  /**
   * Failure: a claim that was given up is being settled as not run while the same request comes
   * again. Going on under it would let the settlement free the id of a request that runs, and a
   * third attempt would run it twice.
   */
  private continueClaim(request: GrantRequest): Refusal | undefined {
    if (!this.unsent.has(request.requestId)) return undefined;
    return this.refuseClaim(request, 'already-running', 'An earlier attempt is being settled.');
  }

  private createRecord(entry: string, request: GrantRequest) {
    const { pool, instance, term, clock } = this.options;
    return {
      type: 'requests-claimed',
      pool,
      instance,
      term,
      writtenAtMs: clock.wallMs(),
      claims: [
        {
          requestId: request.requestId,
          entry,
          keepUntilMs: request.deadlineAtMs + CLAIM_KEPT_AFTER_DEADLINE_MS,
          fingerprint: request.fingerprint,
        },
      ],
    } as const;
  }

  private refuseClaim(request: GrantRequest, kind: Refusal['kind'], message: string): Refusal {
    const { requestId } = request;
    this.options.events.write('claimRefused', { requestId, kind, reason: message });
    return refuse(kind, message);
  }
}
