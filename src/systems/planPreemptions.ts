import type { GrantRow, PoolTables, QueuedRow } from '../tables/index.js';
import type { PlacementDecision } from './decisions.js';
import { getTeamQuota } from './getTeamQuota.js';
import { estimateJobSize } from './estimateJobSize.js';
import { getGuaranteedSlotCount } from './orderQueue.js';
import { type PoolLoad, THROTTLED_CORE_FRACTION } from './PoolLoad.js';

/** How long a checkpoint may take before another run is preempted, in milliseconds. */
const CHECKPOINT_WAIT_MS = 10_000;

/** Options of {@link planPreemptions}. */
export interface PlanPreemptionsOptions {
  readonly tables: PoolTables;
  readonly load: PoolLoad;
  /** Urgent requests that found no VM. */
  readonly waitingUrgent: readonly QueuedRow[];
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
}

/** Removes preemptions whose grant has ended, and checkpoints that have taken too long. */
function dropEndedPreemptions(tables: PoolTables, nowMs: number): void {
  tables.preemptions
    .list()
    .filter(
      ({ grantId, action, decidedAtMs }) =>
        !tables.grants.has(grantId) ||
        (action === 'checkpoint' && nowMs - decidedAtMs >= CHECKPOINT_WAIT_MS),
    )
    .forEach(({ grantId }) => tables.preemptions.remove(grantId));
}

/** Whether the settings declare the run's kind as checkpointable. */
function isCheckpointable(tables: PoolTables, grant: GrantRow): boolean {
  return tables.settings.jobKinds[grant.jobKind]?.checkpointable === true;
}

/** Resources that a preemption would free on the grant's VM. */
function getFreedResources(
  tables: PoolTables,
  grant: GrantRow,
): { readonly slotCount: number; readonly coreCount: number; readonly memoryMb: number } {
  if (isCheckpointable(tables, grant)) {
    return { slotCount: 1, coreCount: grant.coreCount, memoryMb: grant.memoryMb };
  }
  const coreCount = grant.coreCount * (1 - THROTTLED_CORE_FRACTION);
  return { slotCount: 0, coreCount, memoryMb: 0 };
}

/** Whether a request's team holds all the slots that its quota gives it. */
function isAtQuota(options: PlanPreemptionsOptions, request: QueuedRow): boolean {
  const quota = getTeamQuota(options.tables.settings, request.team);
  return options.load.countTeamSlots(request.team) >= (quota?.slotCount ?? 0);
}

/**
 * Whether ending or throttling the run would let the request start on its VM. If the request waits
 * because of its team's quota, only ending one of the team's own runs helps.
 */
function makesRoom(options: PlanPreemptionsOptions, grant: GrantRow, request: QueuedRow): boolean {
  if (request.excludedVms.includes(grant.vm)) return false;
  const helpsQuota = grant.team === request.team && isCheckpointable(options.tables, grant);
  if (isAtQuota(options, request) && !helpsQuota) return false;
  const size = estimateJobSize(options.tables, request);
  const vmLoad = options.load.getVmLoad(grant.vm);
  return vmLoad !== undefined && vmLoad.fits(size, getFreedResources(options.tables, grant));
}

/**
 * Overnight runs that may be preempted, the youngest first since they lose the least work. The
 * guaranteed slots of overnight work are exempt, so that urgent work cannot starve it.
 */
function listPreemptible(options: PlanPreemptionsOptions): readonly GrantRow[] {
  const { tables, load } = options;
  const overnight = tables.grants
    .list()
    .filter((grant) => grant.urgency === 'overnight')
    .sort((left, right) => right.grantedAtMs - left.grantedAtMs);
  const keptCount = getGuaranteedSlotCount('overnight', load.slotCount);
  return overnight
    .slice(0, Math.max(0, overnight.length - keptCount))
    .filter((grant) => !tables.preemptions.has(grant.grantId));
}

/**
 * Makes room for urgent requests that found no VM: an overnight run is checkpointed, or throttled
 * if its kind is not checkpointable and only processors are missing. A pending checkpoint counts
 * for one waiting request: it takes seconds to free its slot, and must not be followed by another
 * one each tick.
 * @param options - State and load of the pool, and the urgent requests without a VM.
 * @returns Preemptions, which are also recorded in the pool's state.
 */
export function planPreemptions(options: PlanPreemptionsOptions): readonly PlacementDecision[] {
  const { tables, waitingUrgent, nowMs } = options;
  dropEndedPreemptions(tables, nowMs);
  if (waitingUrgent.length === 0) return [];
  const pendingCount = tables.preemptions
    .list()
    .filter(({ action }) => action === 'checkpoint').length;
  const candidates = [...listPreemptible(options)];
  return waitingUrgent.slice(pendingCount).flatMap((request): readonly PlacementDecision[] => {
    const index = candidates.findIndex((grant) => makesRoom(options, grant, request));
    if (index < 0) return [];
    const { grantId } = candidates.splice(index, 1)[0]!;
    const grant = tables.grants.getOrThrow(grantId);
    const action = isCheckpointable(tables, grant) ? 'checkpoint' : 'throttle';
    tables.preemptions.put({ grantId, action, decidedAtMs: nowMs });
    const reason = `urgent request ${request.requestId} waits for room on ${grant.vm}`;
    return [{ type: 'preempt', grantId, action, reason }];
  });
}

/**
 * Ends the throttling of runs on VMs with enough free cores; called when no urgent request waits.
 * @param tables - State of the pool; the preemptions of these runs are removed.
 * @param load - Load of the pool.
 * @returns The runs that continue at full speed.
 */
export function planUnthrottles(tables: PoolTables, load: PoolLoad): readonly PlacementDecision[] {
  return tables.preemptions
    .list()
    .filter(({ action }) => action === 'throttle')
    .flatMap(({ grantId }): readonly PlacementDecision[] => {
      const grant = tables.grants.getOrThrow(grantId);
      const missingCoreCount = grant.coreCount * (1 - THROTTLED_CORE_FRACTION);
      const freeCoreCount = load.getVmLoad(grant.vm)?.freeCoreCount ?? missingCoreCount;
      if (freeCoreCount < missingCoreCount) return [];
      tables.preemptions.remove(grantId);
      return [{ type: 'unthrottle', grantId, reason: `${grant.vm} has processors to spare` }];
    });
}
