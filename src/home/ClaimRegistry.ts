import type { Outcome } from '../errors/index.js';
import type { LogWriter } from '../log/index.js';
import type { EventLog } from '../logging/index.js';
import type { GrantRequest } from '../peers/index.js';
import type { ClaimRow, FleetTables } from '../tables/index.js';
import { type Clock, KeyedOnce } from '../utils/index.js';
import { type Refusal, refuse } from './Refusal.js';

/** Options of {@link ClaimRegistry}. */
export interface ClaimRegistryOptions {
  readonly pool: string;
  readonly instance: string;
  /** Term in which this instance is the home of the pool. */
  readonly term: number;
  readonly fleet: FleetTables;
  readonly writer: Pick<LogWriter, 'write'>;
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Maximum time to wait until a claim is read back; after that the caller is told `not run`. */
const CLAIM_TIMEOUT_MS = 3_000;
/** How long a claim is kept after the caller's deadline, to recognize late retries. */
const CLAIM_RETENTION_MS = 3_600_000;

/** Records claims of non-idempotent requests in the log, so that none reaches a target twice. */
export class ClaimRegistry {
  private readonly options: ClaimRegistryOptions;

  /** Requests whose claim was submitted to the log, but which were never sent to a target. */
  private readonly unsentRequestIds = new Set<string>();

  private readonly settlements = new KeyedOnce();

  /**
   * Creates the claim registry of a pool's home.
   * @param options - Pool, term and dependencies.
   */
  constructor(options: ClaimRegistryOptions) {
    this.options = options;
  }

  /**
   * Checks whether an earlier attempt with the same request id rules out a new one.
   * @param entry - Entry instance that sent the request.
   * @param request - The request.
   * @param isInProgress - Whether the request waits for or holds a grant at this home.
   * @returns The refusal, or undefined if the request may continue.
   */
  findConflict(entry: string, request: GrantRequest, isInProgress: boolean): Refusal | undefined {
    const claim = this.options.fleet.claims.get(request.requestId);
    if (claim !== undefined && claim.fingerprint !== request.fingerprint) {
      return refuse('request-id-reused', 'Another request has used this id before.');
    }
    if (isInProgress) return refuse('already-running', 'The request is being handled already.');
    if (claim === undefined) return undefined;
    return this.findClaimConflict(entry, claim);
  }

  /**
   * Writes the claim of a request and waits until it is read back.
   * @param entry - Entry instance that will send the request to the target.
   * @param request - The request.
   * @returns A refusal, in which case nothing may be sent, or undefined once the claim is accepted.
   */
  async claim(entry: string, request: GrantRequest): Promise<Refusal | undefined> {
    const { fleet, clock, writer } = this.options;
    const existingClaim = fleet.claims.get(request.requestId);
    if (
      existingClaim !== undefined &&
      existingClaim.outcome === undefined &&
      existingClaim.entry === entry
    ) {
      return this.reuseClaim(request);
    }
    const deadlineMs = clock.monotonicMs() + CLAIM_TIMEOUT_MS;
    const record = this.createRecord(entry, request);
    const result = await writer.write(record, { deadlineMs, failsFast: true });
    switch (result.type) {
      case 'accepted':
        if (!result.refusedRequestIds?.includes(request.requestId)) return undefined;
        return this.refuseClaim(request, 'already-running', 'Another attempt was claimed first.');
      case 'rejected':
        return this.refuseClaim(request, 'home-unavailable', 'The pool has another home now.');
      default:
        // The claim may be in the log although nothing is sent. It is marked as unsent, so that a
        // retry is neither blocked nor told that its outcome is unknown.
        this.unsentRequestIds.add(request.requestId);
        return this.refuseClaim(request, 'log-unavailable', 'The claim could not be recorded.');
    }
  }

  /**
   * Marks a claimed request as unsent because it was cancelled before its grant was delivered.
   * @param requestId - The request.
   */
  markUnsent(requestId: string): void {
    if (this.options.fleet.claims.has(requestId)) this.unsentRequestIds.add(requestId);
  }

  /**
   * Records the outcome of a claimed request.
   * @param requestId - The request.
   * @param outcome - The outcome.
   * @returns Whether the record was accepted in the log.
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
      { deadlineMs: clock.monotonicMs() + CLAIM_TIMEOUT_MS },
    );
    return result.type === 'accepted';
  }

  /** Settles claims as not run that are in the log although their requests were never sent. */
  tick(): void {
    Array.from(this.unsentRequestIds)
      .filter((requestId) => this.options.fleet.claims.get(requestId)?.outcome === undefined)
      .filter((requestId) => this.options.fleet.claims.has(requestId))
      .forEach((requestId) => {
        this.settlements.start(requestId, async () => {
          if (await this.settle(requestId, 'not-run')) this.unsentRequestIds.delete(requestId);
        });
      });
  }

  private findClaimConflict(entry: string, claim: ClaimRow): Refusal | undefined {
    switch (claim.outcome) {
      case 'not-run':
        return undefined;
      case 'run':
        return refuse('already-run', 'The request has run already.');
      case 'unknown':
        return refuse('outcome-unknown', 'It is unknown whether the request has run.');
      default:
        return this.findOpenClaimConflict(entry, claim);
    }
  }

  /**
   * Checks a claim that has no outcome yet.
   *
   * If the entry instance was killed between claim and answer, it is unknown whether the target got
   * the request, so a retry through another instance never sends it again. The same entry instance
   * may continue, since it knows that it has not sent the request.
   */
  private findOpenClaimConflict(entry: string, claim: ClaimRow): Refusal | undefined {
    if (claim.entry === entry) return undefined;
    const isEntryJoined = this.options.fleet.instances.get(claim.entry)?.state === 'joined';
    return isEntryJoined
      ? refuse('already-running', 'The request is being handled by another instance.')
      : refuse('outcome-unknown', 'The instance that handled the request is gone.');
  }

  /**
   * Reuses the open claim of a request unless that claim is being settled as not run.
   *
   * Reusing such a claim would let the settlement free the id of a request that is running, and a
   * third attempt would run the request twice.
   */
  private reuseClaim(request: GrantRequest): Refusal | undefined {
    if (!this.unsentRequestIds.has(request.requestId)) return undefined;
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
          keepUntilMs: request.deadlineAtMs + CLAIM_RETENTION_MS,
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
