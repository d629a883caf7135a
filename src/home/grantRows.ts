import type { GrantRequest, HeldGrant } from '../peers/index.js';
import type { PlacementDecision } from '../systems/index.js';
import type { GrantRow, QueuedRow } from '../tables/index.js';
import type { Clock } from '../utils/index.js';

/** How long a grant lasts unless its entry instance renews it. */
export const GRANT_LENGTH_MS = 6_000;

/** A grant that an entry instance holds from an earlier home. */
export interface GrantHeldElsewhere extends HeldGrant {
  readonly entry: string;
}

/**
 * Creates the row of a request that waits for a slot.
 * @param entry - Instance that asks.
 * @param request - What it asks.
 * @param clock - Clock that turns the caller's deadline into one of this process.
 * @returns The row.
 */
export function createQueuedRow(entry: string, request: GrantRequest, clock: Clock): QueuedRow {
  const { attemptId, requestId, pool, team, jobKind, urgency, excludedVms } = request;
  const { coreCount, memoryMb, deadlineAtMs } = request;
  const queuedAtMs = clock.monotonicMs();
  const deadlineMs = queuedAtMs + deadlineAtMs - clock.wallMs();
  const who = { attemptId, requestId, entry, pool, team, jobKind, urgency };
  return { ...who, coreCount, memoryMb, queuedAtMs, deadlineMs, excludedVms };
}

/**
 * Creates the grant of a request that was placed.
 * @param row - The request.
 * @param placed - Where, and what is set aside for it.
 * @param nowMs - Monotonic time.
 * @returns The grant.
 */
export function createGrant(
  row: QueuedRow,
  placed: Extract<PlacementDecision, { readonly type: 'place' }>,
  nowMs: number,
): GrantRow {
  const { attemptId, requestId, entry, pool, team, jobKind, urgency } = row;
  const { vm, coreCount, memoryMb } = placed;
  const who = { grantId: attemptId, requestId, entry, pool, team, jobKind, urgency };
  const deadlineMs = nowMs + GRANT_LENGTH_MS;
  return { ...who, vm, coreCount, memoryMb, grantedAtMs: nowMs, deadlineMs };
}

/**
 * Creates the row of a grant that an earlier home gave.
 * @param held - The grant as its entry instance holds it.
 * @param pool - Pool as `team/pool`.
 * @param nowMs - Monotonic time.
 * @returns The grant.
 */
export function createHeldGrant(held: GrantHeldElsewhere, pool: string, nowMs: number): GrantRow {
  return { ...held, pool, grantedAtMs: nowMs, deadlineMs: nowMs + GRANT_LENGTH_MS };
}
