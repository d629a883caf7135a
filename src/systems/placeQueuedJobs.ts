import type { Urgency } from '../settings/index.js';
import type { PoolTables, QueuedRow } from '../tables/index.js';
import { assertNever, type Rng } from '../utils/index.js';
import { chooseVm } from './chooseVm.js';
import type { PlacementDecision } from './decisions.js';
import { getTeamQuota } from './getTeamQuota.js';
import { type JobSize, estimateJobSize } from './estimateJobSize.js';
import { orderQueue } from './orderQueue.js';
import { planPreemptions, planUnthrottles } from './planPreemptions.js';
import { PoolLoad } from './PoolLoad.js';
import { refuseUnservable, refuseLate } from './refuseUnservable.js';
import { RunTimeEstimator } from './RunTimeEstimator.js';
import type { VmLoad } from './VmLoad.js';

/** Shares of the pool's slots that jobs of an urgency leave free for more urgent ones. */
const NORMAL_HEADROOM_FRACTION = 0.05;
const OVERNIGHT_HEADROOM_FRACTION = 0.1;
/** Mean interval between run ends up to which urgent work needs no free slots, in milliseconds. */
const SHORT_RUN_END_INTERVAL_MS = 500;
/** Wait after which a VM is reserved for a job that fits on no VM, in milliseconds. */
const RESERVE_AFTER_MS = 10_000;

/** Options of {@link placeQueuedJobs}. */
export interface PlaceQueuedJobsOptions {
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** Random source that breaks ties between VMs. */
  readonly rng: Rng;
}

/** State of one placement round. */
interface PlacementRound extends PlaceQueuedJobsOptions {
  readonly tables: PoolTables;
  readonly load: PoolLoad;
  readonly estimator: RunTimeEstimator;
  readonly aged: ReadonlySet<QueuedRow>;
  readonly largestVmMemoryMb: number;
  /** Sizes that fit on no VM; this stays true, since VMs only fill up during a round. */
  readonly unfitSizes: Set<string>;
  /** VM, at most one, that is reserved for a job that has long fitted on no VM. */
  readonly reservedVms: Set<string>;
}

/**
 * Slots to keep free when a job of an urgency is placed. If normal runs are short, one of them ends
 * soon enough for urgent work, and no slot has to stay idle for it.
 */
function headroomSlotCount(urgency: Urgency, slotCount: number, meanRunMs: number): number {
  switch (urgency) {
    case 'urgent':
      return 0;
    case 'normal':
      return meanRunMs / slotCount <= SHORT_RUN_END_INTERVAL_MS
        ? 0
        : Math.floor(NORMAL_HEADROOM_FRACTION * slotCount);
    case 'overnight':
      return Math.min(Math.ceil(OVERNIGHT_HEADROOM_FRACTION * slotCount), slotCount - 1);
    default:
      return assertNever(urgency);
  }
}

/**
 * Learned size of a request, limited to the memory of the largest VM. Without the limit, a few runs
 * measured far too large would keep a kind from ever running and being measured again.
 */
function getPlacementSize(round: PlacementRound, request: QueuedRow): JobSize {
  const { coreCount, memoryMb } = estimateJobSize(round.tables, request);
  return { coreCount, memoryMb: Math.min(memoryMb, round.largestVmMemoryMb) };
}

/**
 * Whether quota and headroom let a request start now. Headroom is kept both in the pool and in the
 * team's quota, since a team that fills its quota with overnight runs would block its own saves.
 */
function mayStart(round: PlacementRound, request: QueuedRow): boolean {
  const { load, aged } = round;
  const { team, urgency } = request;
  const quota = getTeamQuota(round.tables.settings, team);
  if (quota === undefined) return false;
  const { meanMs } = round.estimator.estimate(request.jobKind);
  const headroomOf = (slotCount: number): number =>
    aged.has(request) ? 0 : headroomSlotCount(urgency, slotCount, meanMs);
  const freeQuota = quota.slotCount - load.countTeamSlots(team);
  return (
    freeQuota > headroomOf(Math.min(quota.slotCount, load.slotCount)) &&
    load.freeSlotCount > headroomOf(load.slotCount)
  );
}

/** Finds a VM for a request, and records sizes that fit on no VM. */
function findVm(round: PlacementRound, request: QueuedRow, size: JobSize): VmLoad | undefined {
  const sizeKey = `${request.urgency === 'urgent'}/${size.coreCount}/${size.memoryMb}`;
  if (round.unfitSizes.has(sizeKey)) return undefined;
  const chosen = chooseVm({ ...round, request, size });
  if (chosen === undefined && request.excludedVms.length === 0) round.unfitSizes.add(sizeKey);
  return chosen;
}

/**
 * Reserves a VM for a large job. Small jobs fit into every gap, so without a reservation a large
 * job would starve for as long as small ones arrive.
 */
function reserveVm(round: PlacementRound, request: QueuedRow, size: JobSize): void {
  const { load, nowMs } = round;
  if (round.reservedVms.size > 0 || nowMs - request.queuedAtMs < RESERVE_AFTER_MS) return;
  const fittingLoads = load.vmLoads.filter(
    ({ vm }) =>
      vm.memoryMb >= size.memoryMb &&
      vm.coreCount >= size.coreCount &&
      !request.excludedVms.includes(vm.vm),
  );
  const emptiest = fittingLoads.reduce<VmLoad | undefined>(
    (best, next) =>
      best === undefined || next.slackAfter(size) > best.slackAfter(size) ? next : best,
    undefined,
  );
  if (emptiest !== undefined) round.reservedVms.add(emptiest.vm.vm);
}

/** Places a request; undefined leaves it waiting. */
function tryPlace(round: PlacementRound, request: QueuedRow): PlacementDecision | undefined {
  if (!mayStart(round, request)) return undefined;
  const size = getPlacementSize(round, request);
  const chosen = findVm(round, request, size);
  if (chosen === undefined) {
    reserveVm(round, request, size);
    return undefined;
  }
  const { vm } = chosen.vm;
  round.load.addRun({ ...request, vm }, size, round.nowMs);
  return {
    type: 'place',
    attemptId: request.attemptId,
    vm,
    coreCount: size.coreCount,
    memoryMb: size.memoryMb,
    reason: `${chosen.usedSlotCount} of ${chosen.vm.slotCount} slots used, ${Math.floor(chosen.freeMemoryMb)} MB left, rack ${chosen.vm.rack} ${Math.round(round.load.getRackUtilisation(chosen) * 100)} % full`,
  };
}

/**
 * Decides about the requests that wait for a slot of a pool: which start on which VM, which are
 * refused and why, and which runs are preempted.
 * @param tables - State of the pool; only its preemptions are changed.
 * @param options - Time and random source.
 * @returns Decisions; requests without one stay queued.
 */
export function placeQueuedJobs(
  tables: PoolTables,
  options: PlaceQueuedJobsOptions,
): readonly PlacementDecision[] {
  const { nowMs } = options;
  if (tables.queue.size === 0 && tables.preemptions.size === 0) return [];
  const estimator = new RunTimeEstimator(tables);
  const refusals = refuseUnservable(tables, { nowMs, estimator });
  const refusedIds = new Set(refusals.map((refusal) => refusal.attemptId));
  const requests = tables.queue.list().filter(({ attemptId }) => !refusedIds.has(attemptId));
  const load = new PoolLoad({ tables, nowMs });
  const order = orderQueue({ tables, load, requests, nowMs });
  const largestVmMemoryMb = tables.vms.list().reduce((most, vm) => Math.max(most, vm.memoryMb), 0);
  const round: PlacementRound = {
    ...options,
    tables,
    load,
    estimator,
    aged: order.aged,
    largestVmMemoryMb,
    unfitSizes: new Set(),
    reservedVms: new Set(),
  };
  const waiting: QueuedRow[] = [];
  const placements = order.requests.flatMap((request): readonly PlacementDecision[] => {
    const placement = tryPlace(round, request);
    if (placement === undefined) waiting.push(request);
    return placement === undefined ? [] : [placement];
  });
  const waitingUrgent = waiting.filter((request) => request.urgency === 'urgent');
  const preemptions = planPreemptions({ tables, load, waitingUrgent, nowMs });
  return [
    ...refusals,
    ...placements,
    ...refuseLate(waiting, load.slotCount, { nowMs, estimator }),
    ...preemptions,
    ...(waitingUrgent.length === 0 ? planUnthrottles(tables, load) : []),
  ];
}
