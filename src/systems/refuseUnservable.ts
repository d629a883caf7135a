import type { PoolTables, PoolVmRow, QueuedRow } from '../tables/index.js';
import { groupBy } from '../utils/index.js';
import type { PlacementDecision } from './decisions.js';
import { getTeamQuota } from './getTeamQuota.js';
import type { RunTimeEstimator } from './RunTimeEstimator.js';

/** VMs on which a request has to fail before the request itself counts as at fault. */
export const MAX_FAILED_VM_COUNT = 3;
/** Shortest and longest time after which a refused caller may retry, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 60_000;
/** Time after which a caller may retry if the pool has no VM yet, in milliseconds. */
const NO_VM_RETRY_AFTER_MS = 5_000;
/**
 * Factors by which an estimated wait is multiplied before it is compared with the deadline. A new
 * request is refused as soon as its wait looks too long, since an early refusal helps the caller
 * most. A request that already waits is refused only if that is clear, since estimates fluctuate.
 * Waits estimated from declared run times count for less.
 */
const NEW_REQUEST_WAIT_FACTOR = 1;
const WAITING_REQUEST_WAIT_FACTOR = 0.6;
const DECLARED_RUN_TIME_WAIT_FACTOR = 0.5;
/** How long a request counts as new, in milliseconds. */
const NEW_REQUEST_MS = 300;

/** Options of {@link refuseUnservable} and {@link refuseLate}. */
export interface RefuseOptions {
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  readonly estimator: RunTimeEstimator;
}

/** Decision to refuse a request. */
export type Refusal = Extract<PlacementDecision, { type: 'refuse' }>;

/** Limits a retry time to the allowed range. */
function clampRetryAfter(ms: number): number {
  return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, ms)));
}

/** Whether a request has failed on as many VMs as it may, or on all that there are. */
function hasFailedEverywhere(request: QueuedRow, vms: readonly PoolVmRow[]): boolean {
  const { excludedVms } = request;
  if (excludedVms.length === 0) return false;
  return (
    excludedVms.length >= MAX_FAILED_VM_COUNT || vms.every((vm) => excludedVms.includes(vm.vm))
  );
}

/** Finds why a request cannot be served, whatever the load. */
function findRefusalCause(
  tables: PoolTables,
  vms: readonly PoolVmRow[],
  request: QueuedRow,
  options: RefuseOptions,
): Omit<Refusal, 'type' | 'attemptId'> | undefined {
  const leftMs = request.deadlineMs - options.nowMs;
  if (leftMs <= 0) {
    return { kind: 'deadline-past', reason: 'its deadline has passed', retryAfterMs: 0 };
  }
  const { shortestMs } = options.estimator.estimate(request.jobKind);
  if (leftMs < shortestMs) {
    return {
      kind: 'deadline-past',
      reason: `its deadline is ${Math.round(leftMs)} ms away, but nearly every run of its kind takes at least ${Math.round(shortestMs)} ms`,
      retryAfterMs: 0,
    };
  }
  if (getTeamQuota(tables.settings, request.team) === undefined) {
    return {
      kind: 'quota-exceeded',
      reason: `team ${request.team} has no quota on the pool`,
      retryAfterMs: MAX_RETRY_AFTER_MS,
    };
  }
  if (vms.length === 0) {
    return {
      kind: 'no-capacity',
      reason: 'the pool has no VM',
      retryAfterMs: NO_VM_RETRY_AFTER_MS,
    };
  }
  const { memoryMb, coreCount } = request;
  if (!vms.some((vm) => vm.memoryMb >= memoryMb && vm.coreCount >= coreCount)) {
    return {
      kind: 'job-too-large',
      reason: `it declares ${coreCount} cores and ${memoryMb} MB; no VM of the pool has both`,
      retryAfterMs: 0,
    };
  }
  // A job that fails everywhere would otherwise be tried on every VM of the pool and hold it up.
  const failedCount = request.excludedVms.length;
  if (hasFailedEverywhere(request, vms)) {
    return {
      kind: 'target-failed',
      reason: `it failed on ${failedCount} VMs: ${request.excludedVms.join(', ')}`,
      retryAfterMs: 0,
    };
  }
  return undefined;
}

/** Refuses the youngest requests of teams with more queued requests than their quota allows. */
function refuseBeyondQueueLimit(
  tables: PoolTables,
  requests: readonly QueuedRow[],
  options: RefuseOptions,
): readonly Refusal[] {
  const slotCount = tables.vms.list().reduce((sum, vm) => sum + vm.slotCount, 0);
  const byTeam = groupBy(requests, (request) => request.team);
  return [...byTeam].flatMap(([team, teamRequests]) => {
    const quota = getTeamQuota(tables.settings, team)!;
    if (teamRequests.length <= quota.queuedJobCount) return [];
    const heldCount = tables.grants.list().filter((grant) => grant.team === team).length;
    const atQuota = heldCount >= quota.slotCount;
    const { meanMs } = options.estimator.estimate(teamRequests[0]!.jobKind);
    const drainMs = (meanMs * quota.queuedJobCount) / Math.min(slotCount, quota.slotCount) / 2;
    return [...teamRequests]
      .sort((left, right) => left.queuedAtMs - right.queuedAtMs)
      .slice(quota.queuedJobCount)
      .map((request) => ({
        type: 'refuse' as const,
        attemptId: request.attemptId,
        kind: atQuota ? ('quota-exceeded' as const) : ('queue-full' as const),
        reason: atQuota
          ? `team ${team} holds its ${quota.slotCount} slots and ${quota.queuedJobCount} requests wait`
          : `${quota.queuedJobCount} requests of team ${team} wait already`,
        retryAfterMs: clampRetryAfter(drainMs),
      }));
  });
}

/**
 * Refuses the requests that cannot be served. It runs before any request is placed, so that the
 * callers are told at once.
 * @param tables - State of the pool.
 * @param options - Time and estimates of run times.
 * @returns Refusals with their kind and retry time.
 */
export function refuseUnservable(tables: PoolTables, options: RefuseOptions): readonly Refusal[] {
  const requests = tables.queue.list();
  const vms = tables.vms.list();
  const refusals = requests.flatMap((request): readonly Refusal[] => {
    const found = findRefusalCause(tables, vms, request, options);
    return found === undefined ? [] : [{ type: 'refuse', attemptId: request.attemptId, ...found }];
  });
  const refusedIds = new Set(refusals.map((refusal) => refusal.attemptId));
  const remaining = requests.filter((request) => !refusedIds.has(request.attemptId));
  return [...refusals, ...refuseBeyondQueueLimit(tables, remaining, options)];
}

/** Factor by which a request's estimated wait is multiplied. */
function getWaitFactor(request: QueuedRow, options: RefuseOptions): number {
  const { nowMs, estimator } = options;
  if (!estimator.estimate(request.jobKind).isMeasured) return DECLARED_RUN_TIME_WAIT_FACTOR;
  const isNew = nowMs - request.queuedAtMs < NEW_REQUEST_MS;
  return isNew ? NEW_REQUEST_WAIT_FACTOR : WAITING_REQUEST_WAIT_FACTOR;
}

/**
 * Refuses waiting requests that would miss their deadline because of the work ahead of them. Under
 * overload they would otherwise wait, get a slot too late, and waste it on an answer that nobody
 * reads. So a request waits only while even a long run could still end in time.
 * @param waiting - Requests that got no slot, in the order in which they will be served.
 * @param slotCount - Slots of the accepting VMs.
 * @param options - Time and estimates of run times.
 * @returns Refusals with their retry time.
 */
export function refuseLate(
  waiting: readonly QueuedRow[],
  slotCount: number,
  options: RefuseOptions,
): readonly Refusal[] {
  if (slotCount === 0) return [];
  let workAheadMs = 0;
  return waiting.flatMap((request): readonly Refusal[] => {
    const { meanMs, longMs } = options.estimator.estimate(request.jobKind);
    const waitMs = workAheadMs / slotCount;
    const weightedWaitMs = waitMs * getWaitFactor(request, options);
    if (options.nowMs + weightedWaitMs + longMs <= request.deadlineMs) {
      workAheadMs += meanMs;
      return [];
    }
    return [
      {
        type: 'refuse',
        attemptId: request.attemptId,
        kind: 'no-capacity',
        reason: `the requests ahead of it take about ${Math.round(waitMs)} ms and its own run up to ${Math.round(longMs)} ms, longer than its deadline allows`,
        retryAfterMs: clampRetryAfter(waitMs),
      },
    ];
  });
}
