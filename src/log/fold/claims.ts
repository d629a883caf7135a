import type { Outcome } from '../../errors/index.js';
import type { RecordBodyOf, RequestClaim } from '../../records/index.js';
import type { ClaimRow, FleetTables, RecordVerdict } from '../../tables/index.js';
import { findHomeMismatch } from './homes.js';
import { ACCEPTED, reject } from './verdicts.js';

type RequestSettlement = RecordBodyOf<'requests-settled'>['settlements'][number];

const CLAIM_EXPIRY_MARGIN_MS = 600_000;
const CLAIM_EXPIRY_INTERVAL_MS = 60_000;

/**
 * Returns the wall-clock time that decides which claims have expired.
 *
 * A wall clock that is far ahead would make every instance delete claims of requests that callers
 * may still repeat, and a repeated request would run twice. With several writers, the second
 * latest clock is used, so a single wrong clock does no harm.
 * @param tables - Tables of the replicated state.
 * @returns Milliseconds since the Unix epoch; 0 if no clock is known.
 */
function getTrustedWallMs(tables: FleetTables): number {
  const latestFirst = tables.writerClocks
    .list()
    .map((row) => row.wallMs)
    .sort((one, other) => other - one);
  return latestFirst[1] ?? latestFirst[0] ?? 0;
}

/**
 * Deletes the claims of requests that no caller can repeat any more. Runs at most once per
 * interval of trusted time.
 * @param tables - Tables of the replicated state.
 */
function deleteExpiredClaims(tables: FleetTables): void {
  const expiredUpToMs = getTrustedWallMs(tables) - CLAIM_EXPIRY_MARGIN_MS;
  if (expiredUpToMs < tables.claimsForgottenUpToMs + CLAIM_EXPIRY_INTERVAL_MS) return;
  const expiryMs = Math.floor(expiredUpToMs / CLAIM_EXPIRY_INTERVAL_MS) * CLAIM_EXPIRY_INTERVAL_MS;
  Object.assign(tables, { claimsForgottenUpToMs: expiryMs });
  tables.claims
    .list()
    .filter((claim) => claim.keepUntilMs < expiryMs)
    .forEach((claim) => tables.claims.remove(claim.requestId));
}

/**
 * Records the wall-clock time of a writer; the recorded time never decreases.
 * @param tables - Tables of the replicated state.
 * @param instance - The writer.
 * @param wallMs - Wall-clock time in the record; undefined if the record has none.
 */
function recordWriterClock(
  tables: FleetTables,
  instance: string,
  wallMs: number | undefined,
): void {
  if (wallMs === undefined) return;
  const formerMs = tables.writerClocks.get(instance)?.wallMs ?? 0;
  tables.writerClocks.put({ instance, wallMs: Math.max(formerMs, wallMs) });
}

/**
 * Stores a claim unless the request is already claimed. A request whose outcome is `not-run` can
 * be claimed again.
 * @param tables - Tables of the replicated state.
 * @param pool - Pool as `team/pool`.
 * @param claim - The claim.
 * @param offset - Offset of the record that holds the claim.
 * @returns Whether the claim was stored.
 */
function storeClaim(
  tables: FleetTables,
  pool: string,
  claim: RequestClaim,
  offset: number,
): boolean {
  const former = tables.claims.get(claim.requestId);
  if (former !== undefined && former.outcome !== 'not-run') return false;
  const isRepeat = former !== undefined;
  tables.claims.put({ ...claim, pool, outcome: undefined, claimedOffset: offset, isRepeat });
  return true;
}

/**
 * Applies claims of non-idempotent requests.
 *
 * A home that was paused past its lease may append claims for requests that its successor has
 * claimed and sent in the meantime; each of them would run twice. The term of the paused home is
 * outdated, so the record is rejected. A home may send a request only after it has read the claim
 * back as accepted.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @param offset - Offset of the record.
 * @returns The verdict, with the ids of the requests that were already claimed.
 */
export function applyRequestsClaimed(
  tables: FleetTables,
  body: RecordBodyOf<'requests-claimed'>,
  offset: number,
): RecordVerdict {
  const fault = findHomeMismatch(tables, body);
  if (fault !== undefined) return reject(fault);
  recordWriterClock(tables, body.instance, body.writtenAtMs);
  deleteExpiredClaims(tables);
  const refusedRequestIds = body.claims
    .filter((claim) => !storeClaim(tables, body.pool, claim, offset))
    .map((claim) => claim.requestId);
  return refusedRequestIds.length === 0 ? ACCEPTED : { type: 'accepted', refusedRequestIds };
}

/**
 * Merges the recorded outcome of a request with a newly reported one.
 * @param former - Recorded outcome.
 * @param outcome - Reported outcome.
 * @returns The outcome to record: a known outcome replaces `unknown`, and `run` replaces `not-run`.
 */
function mergeOutcomes(former: Outcome | undefined, outcome: Outcome): Outcome {
  if (former === undefined || former === 'unknown') return outcome;
  return outcome === 'run' ? 'run' : former;
}

/**
 * Checks whether a settlement belongs to an earlier claim than the current one.
 *
 * A home settles a claim as `not-run`, gets no answer and settles it again. The request is claimed
 * again and runs; then the first settlement reaches the log. It would mark the running request as
 * `not-run` and allow a third attempt. Therefore a `not-run` settlement must carry the offset of
 * its claim, unless the request has been claimed only once.
 * @param claim - The current claim.
 * @param settlement - The settlement.
 * @returns Whether the settlement must be ignored.
 */
function isOfEarlierClaim(claim: ClaimRow, settlement: RequestSettlement): boolean {
  if (settlement.outcome !== 'not-run') return false;
  if (settlement.claimedOffset === undefined) return claim.isRepeat === true;
  return settlement.claimedOffset !== claim.claimedOffset;
}

/**
 * Applies the outcomes of claimed requests; ignores outcomes of requests that the pool has not
 * claimed.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @returns The verdict.
 */
export function applyRequestsSettled(
  tables: FleetTables,
  body: RecordBodyOf<'requests-settled'>,
): RecordVerdict {
  const fault = findHomeMismatch(tables, body);
  if (fault !== undefined) return reject(fault);
  body.settlements.forEach((settlement) => {
    const claim = tables.claims.get(settlement.requestId);
    if (claim?.pool !== body.pool || isOfEarlierClaim(claim, settlement)) return;
    const outcome = mergeOutcomes(claim.outcome, settlement.outcome);
    tables.claims.put({ ...claim, outcome });
  });
  return ACCEPTED;
}
