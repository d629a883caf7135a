import type { GrantRequest, HeldGrant } from '../peers/index.js';
import type { PlacementDecision } from '../systems/index.js';
import type { GrantRow, QueuedRow } from '../tables/index.js';
import type { Clock } from '../utils/index.js';

/** How long a grant is valid unless its entry instance renews it. */
export const GRANT_DURATION_MS = 6_000;

/** A grant that an entry instance still holds from an earlier home. */
export interface InheritedGrant extends HeldGrant {
  readonly entry: string;
}

/**
 * Creates the row of a request that waits for a slot.
 * @param entry - Entry instance that sent the request.
 * @param request - The request.
 * @param clock - Clock that converts the caller's wall-clock deadline to monotonic time.
 * @returns The row.
 */
export function createQueuedRow(entry: string, request: GrantRequest, clock: Clock): QueuedRow {
  const { attemptId, requestId, pool, team, jobKind, urgency, excludedVms } = request;
  const { coreCount, memoryMb, deadlineAtMs } = request;
  const queuedAtMs = clock.monotonicMs();
  const deadlineMs = queuedAtMs + deadlineAtMs - clock.wallMs();
  const identity = { attemptId, requestId, entry, pool, team, jobKind, urgency };
  return { ...identity, coreCount, memoryMb, queuedAtMs, deadlineMs, excludedVms };
}

/**
 * Creates the grant of a request that was placed.
 * @param row - The request.
 * @param placed - VM and the resources that are reserved on it.
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
  const identity = { grantId: attemptId, requestId, entry, pool, team, jobKind, urgency };
  const deadlineMs = nowMs + GRANT_DURATION_MS;
  return { ...identity, vm, coreCount, memoryMb, grantedAtMs: nowMs, deadlineMs };
}

/**
 * Creates the row of a grant that an earlier home issued.
 * @param held - The grant as its entry instance reports it.
 * @param pool - Pool as `team/pool`.
 * @param nowMs - Monotonic time.
 * @returns The grant.
 */
export function createInheritedGrant(held: InheritedGrant, pool: string, nowMs: number): GrantRow {
  return { ...held, pool, grantedAtMs: nowMs, deadlineMs: nowMs + GRANT_DURATION_MS };
}
