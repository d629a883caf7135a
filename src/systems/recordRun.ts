import type { GrantResult } from '../peers/index.js';
import type { JobKindHistoryRow, PoolTables, VmHealthRow } from '../tables/index.js';
import { AvailabilityBudget } from './AvailabilityBudget.js';
import type { RunVerdict } from './decisions.js';
import { MEMORY_FLOOR_FRACTION } from './estimateJobSize.js';
import { quantile } from './quantile.js';
import { MAX_FAILED_VM_COUNT } from './refuseUnservable.js';

/** Number of latest runs over which the quantiles of a kind are computed. */
const RECENT_RUN_COUNT = 64;
/** Quantile of run time and memory that a kind's history keeps. */
const LEARNED_QUANTILE = 0.9;
/** Distinct kinds of job that have to fail on a VM before it is quarantined. */
const MIN_FAILED_KIND_COUNT = 2;
/** Distinct requests that have to fail on a VM before it is quarantined. */
const MIN_FAILED_REQUEST_COUNT = 3;
/** VMs on which a kind has to fail before the kind, not the VMs, is at fault. */
const MIN_KIND_FAILED_VM_COUNT = 3;
/** First and longest quarantine, in milliseconds; each failed trial doubles the length. */
const FIRST_QUARANTINE_MS = 60_000;
const MAX_QUARANTINE_MS = 1_800_000;
/** Ids of failed requests kept for a VM. */
const MAX_KEPT_FAILURE_COUNT = 16;

/** How an attempt on a VM ended. Omit attempts that their caller cancelled: they show nothing. */
export interface RecordRunOptions {
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  readonly requestId: string;
  readonly jobKind: string;
  readonly vm: string;
  readonly result: GrantResult;
  /** How long the attempt ran, in milliseconds. */
  readonly ranMs: number;
  /** Measured memory of the run, in megabytes; undefined if not measured. */
  readonly usedMemoryMb?: number;
  /** VMs on which the request failed before. */
  readonly excludedVms: readonly string[];
}

/** Appends a value to a list and keeps only the latest ones. */
function appendRecent(values: readonly number[], value: number): readonly number[] {
  return [...values, value].slice(-RECENT_RUN_COUNT);
}

/** Updates the run time and memory of a kind after a successful run. */
function updateHistory(tables: PoolTables, run: RecordRunOptions): void {
  const before: JobKindHistoryRow | undefined = tables.history.get(run.jobKind);
  const declaredMemoryMb = tables.settings.jobKinds[run.jobKind]?.memoryMb ?? 0;
  const recentRunMs = appendRecent(before?.recentRunMs ?? [], run.ranMs);
  const recentMemoryMb =
    run.usedMemoryMb === undefined
      ? (before?.recentMemoryMb ?? [])
      : appendRecent(before?.recentMemoryMb ?? [], run.usedMemoryMb);
  const measuredMemoryMb =
    recentMemoryMb.length === 0 ? declaredMemoryMb : quantile(recentMemoryMb, LEARNED_QUANTILE);
  tables.history.put({
    jobKind: run.jobKind,
    runCount: (before?.runCount ?? 0) + 1,
    runMs: quantile(recentRunMs, LEARNED_QUANTILE),
    memoryMb: Math.max(measuredMemoryMb, declaredMemoryMb * MEMORY_FLOOR_FRACTION),
    recentRunMs,
    recentMemoryMb,
  });
}

/** Clears the recorded failures of a VM after a successful run. */
function clearFailures(tables: PoolTables, run: RecordRunOptions): readonly RunVerdict[] {
  const health = tables.health.get(run.vm);
  tables.health.remove(run.vm);
  const wasQuarantined = health?.quarantinedUntilMs !== undefined;
  return wasQuarantined ? [{ type: 'restore', vm: run.vm, reason: 'a run on it succeeded' }] : [];
}

/** Removes a request's failures from every VM, once the request itself is found at fault. */
function clearRequestFailures(tables: PoolTables, requestId: string): void {
  tables.health
    .list()
    .filter((health) => health.failedRequestIds.includes(requestId))
    .forEach((health) => {
      const failedRequestIds = health.failedRequestIds.filter((id) => id !== requestId);
      const failedJobKinds = failedRequestIds.length === 0 ? [] : health.failedJobKinds;
      tables.health.put({ ...health, failedRequestIds, failedJobKinds });
    });
}

/** Adds a failed attempt to the recorded failures of its VM. */
function recordFailure(tables: PoolTables, run: RecordRunOptions): VmHealthRow {
  const before = tables.health.get(run.vm);
  const health: VmHealthRow = {
    vm: run.vm,
    failedJobKinds: [...new Set([...(before?.failedJobKinds ?? []), run.jobKind])],
    failedRequestIds: [...new Set([...(before?.failedRequestIds ?? []), run.requestId])].slice(
      -MAX_KEPT_FAILURE_COUNT,
    ),
    lastFailedAtMs: run.nowMs,
    quarantinedUntilMs: before?.quarantinedUntilMs,
    quarantineCount: before?.quarantineCount ?? 0,
  };
  tables.health.put(health);
  return health;
}

/** Whether a kind fails on so many VMs that the kind is at fault. */
function isKindAtFault(tables: PoolTables, jobKind: string): boolean {
  const vms = tables.health.list().filter((health) => health.failedJobKinds.includes(jobKind));
  return vms.length >= MIN_KIND_FAILED_VM_COUNT;
}

/** Returns why a VM has to be quarantined, or undefined if it does not. */
function findQuarantineReason(tables: PoolTables, health: VmHealthRow): string | undefined {
  const failedAfterTrial = health.quarantineCount > 0;
  if (failedAfterTrial) return 'the first run after its quarantine failed';
  const kinds = health.failedJobKinds.filter((kind) => !isKindAtFault(tables, kind));
  if (kinds.length >= MIN_FAILED_KIND_COUNT) return `jobs of ${kinds.length} kinds failed on it`;
  const requestCount = health.failedRequestIds.length;
  if (kinds.length > 0 && requestCount >= MIN_FAILED_REQUEST_COUNT) {
    return `${requestCount} requests failed on it`;
  }
  return undefined;
}

/**
 * Quarantines a VM if the budget allows. Wrong quarantines, because of a broken job or a broken
 * network, must not empty the pool; a VM that the budget exempts still gets single trial runs.
 */
function quarantineIfAllowed(
  tables: PoolTables,
  run: RecordRunOptions,
  health: VmHealthRow,
): readonly RunVerdict[] {
  const isInQuarantine =
    health.quarantinedUntilMs !== undefined && run.nowMs < health.quarantinedUntilMs;
  const reason = findQuarantineReason(tables, health);
  if (isInQuarantine || reason === undefined) return [];
  const budget = new AvailabilityBudget({ tables, nowMs: run.nowMs });
  if (budget.isAccepting(run.vm)) {
    budget.takeOut(run.vm);
    if (budget.verdict().type === 'exceeded') return [];
  }
  const lengthMs = Math.min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS * 2 ** health.quarantineCount);
  const untilMs = run.nowMs + lengthMs;
  const quarantineCount = health.quarantineCount + 1;
  tables.health.put({ ...health, quarantinedUntilMs: untilMs, quarantineCount });
  return [{ type: 'quarantine', vm: run.vm, untilMs, reason }];
}

/**
 * Records how an attempt ended: a success updates learned sizes and run times; a failure decides
 * whether the VM or the request is at fault.
 * @param tables - State of the pool; its history and health are updated.
 * @param run - How the attempt ended.
 * @returns VMs quarantined or restored, and requests found at fault.
 */
export function recordRun(tables: PoolTables, run: RecordRunOptions): readonly RunVerdict[] {
  if (run.result === 'run') {
    updateHistory(tables, run);
    return clearFailures(tables, run);
  }
  // Cancellations, even many at once, are no evidence against the VMs that ran the jobs.
  if (run.result === 'cancelled') return [];
  const failedVms = new Set([...run.excludedVms, run.vm]);
  if (failedVms.size >= MAX_FAILED_VM_COUNT) {
    clearRequestFailures(tables, run.requestId);
    const reason = `it failed on ${failedVms.size} VMs: ${[...failedVms].join(', ')}`;
    return [{ type: 'blame-job', requestId: run.requestId, reason }];
  }
  return quarantineIfAllowed(tables, run, recordFailure(tables, run));
}
