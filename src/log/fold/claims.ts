import type { Outcome } from '../../errors/index.js';
import type { RecordBodyOf, RequestClaim } from '../../records/index.js';
import type { ClaimRow, FleetTables, RecordVerdict } from '../../tables/index.js';
import { findHomeFault } from './homes.js';
import { ACCEPTED, reject } from './verdicts.js';

type RequestSettlement = RecordBodyOf<'requests-settled'>['settlements'][number];

const FORGET_MARGIN_MS = 600_000;
const FORGET_STEP_MS = 60_000;

/**
 * Reads the time by which claims may be forgotten.
 *
 * A wall clock that is far ahead would make every instance forget claims that callers may still
 * repeat, and a repeat would run twice. The second latest clock counts where there are several
 * writers, so one clock that is wrong does no harm.
 * @param tables - The state.
 * @returns Milliseconds since the Unix epoch; 0 where no clock is known.
 */
function readTrustedWallMs(tables: FleetTables): number {
  const latestFirst = tables.writerClocks
    .list()
    .map((row) => row.wallMs)
    .sort((one, other) => other - one);
  return latestFirst[1] ?? latestFirst[0] ?? 0;
}

/**
 * Forgets the claims that no caller can repeat any more, at most once for each step of time.
 * @param tables - The state.
 */
function forgetExpiredClaims(tables: FleetTables): void {
  const dueMs = readTrustedWallMs(tables) - FORGET_MARGIN_MS;
  if (dueMs < tables.claimsForgottenUpToMs + FORGET_STEP_MS) return;
  const forgetBeforeMs = Math.floor(dueMs / FORGET_STEP_MS) * FORGET_STEP_MS;
  Object.assign(tables, { claimsForgottenUpToMs: forgetBeforeMs });
  tables.claims
    .list()
    .filter((claim) => claim.keepUntilMs < forgetBeforeMs)
    .forEach((claim) => tables.claims.remove(claim.requestId));
}

/**
 * Notes the wall clock of a writer.
 * @param tables - The state.
 * @param instance - The writer.
 * @param wallMs - What it wrote; undefined where it wrote none.
 */
function noteClock(tables: FleetTables, instance: string, wallMs: number | undefined): void {
  if (wallMs === undefined) return;
  const formerMs = tables.writerClocks.get(instance)?.wallMs ?? 0;
  tables.writerClocks.put({ instance, wallMs: Math.max(formerMs, wallMs) });
}

/**
 * Keeps one claim unless its request is claimed already; one that certainly did not run is free.
 * @param tables - The state.
 * @param pool - Pool as `team/pool`.
 * @param claim - The claim.
 * @param offset - Offset of its record.
 * @returns Whether the claim stands.
 */
function tryClaim(tables: FleetTables, pool: string, claim: RequestClaim, offset: number): boolean {
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
 * claimed and sent in the meantime, and each would run twice. Its term is no longer the current
 * one, so none of its claims counts, and it may not send what it did not read back as accepted.
 * @param tables - The state.
 * @param body - The record.
 * @param offset - Its offset.
 * @returns The verdict, with the claims that were refused because their request is claimed.
 */
export function applyRequestsClaimed(
  tables: FleetTables,
  body: RecordBodyOf<'requests-claimed'>,
  offset: number,
): RecordVerdict {
  const fault = findHomeFault(tables, body);
  if (fault !== undefined) return reject(fault);
  noteClock(tables, body.instance, body.writtenAtMs);
  forgetExpiredClaims(tables);
  const refusedRequestIds = body.claims
    .filter((claim) => !tryClaim(tables, body.pool, claim, offset))
    .map((claim) => claim.requestId);
  return refusedRequestIds.length === 0 ? ACCEPTED : { type: 'accepted', refusedRequestIds };
}

/**
 * Decides which outcome of a request stands.
 * @param former - Outcome on record.
 * @param outcome - Outcome that is reported now.
 * @returns What is known for certain before what is not; of two certain ones, that it ran.
 */
function mergeOutcomes(former: Outcome | undefined, outcome: Outcome): Outcome {
  if (former === undefined || former === 'unknown') return outcome;
  return outcome === 'run' ? 'run' : former;
}

/**
 * Tells whether an outcome is of an earlier claim than the one that stands.
 *
 * A home settles a claim as not run, gets no answer and settles it again; the request is claimed
 * anew and runs; then the first settlement reaches the log after all. It would show the running
 * request as not run and free its id for a third attempt. So an outcome that frees the id has to
 * name the claim it is of, except where the request was only ever claimed once.
 * @param claim - The claim that stands.
 * @param settlement - The outcome.
 * @returns Whether it must be passed over.
 */
function isOfEarlierClaim(claim: ClaimRow, settlement: RequestSettlement): boolean {
  if (settlement.outcome !== 'not-run') return false;
  if (settlement.claimedOffset === undefined) return claim.isRepeat === true;
  return settlement.claimedOffset !== claim.claimedOffset;
}

/**
 * Applies the outcomes of claimed requests; those without a claim of the pool are passed over.
 * @param tables - The state.
 * @param body - The record.
 * @returns The verdict.
 */
export function applyRequestsSettled(
  tables: FleetTables,
  body: RecordBodyOf<'requests-settled'>,
): RecordVerdict {
  const fault = findHomeFault(tables, body);
  if (fault !== undefined) return reject(fault);
  body.settlements.forEach((settlement) => {
    const claim = tables.claims.get(settlement.requestId);
    if (claim?.pool !== body.pool || isOfEarlierClaim(claim, settlement)) return;
    const outcome = mergeOutcomes(claim.outcome, settlement.outcome);
    tables.claims.put({ ...claim, outcome });
  });
  return ACCEPTED;
}
