import type { Urgency } from '../settings/index.js';
import type { PoolTables, QueuedRow } from '../tables/index.js';
import { assertNever, type Rng } from '../utils/index.js';
import { chooseVm } from './chooseVm.js';
import type { PlacementDecision } from './decisions.js';
import { getTeamQuota } from './getTeamQuota.js';
import { type JobSize, learnedSize } from './learnedSize.js';
import { orderQueue } from './orderQueue.js';
import { planPreemptions, planUnthrottles } from './planPreemptions.js';
import { PoolLoad } from './PoolLoad.js';
import { refuseHopeless, refuseLate } from './refuseHopeless.js';
import { RunEstimator } from './RunEstimator.js';
import type { VmLoad } from './VmLoad.js';

/** Shares of the pool's slots that jobs of an urgency leave free for more urgent ones. */
const NORMAL_HEADROOM_FRACTION = 0.05;
const OVERNIGHT_HEADROOM_FRACTION = 0.1;
/** Mean interval between run ends up to which urgent work needs no free slots, in milliseconds. */
const SOON_FREE_MS = 500;
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
interface PlacementRun extends PlaceQueuedJobsOptions {
  readonly tables: PoolTables;
  readonly load: PoolLoad;
  readonly estimator: RunEstimator;
  readonly owed: ReadonlySet<QueuedRow>;
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
      return meanRunMs / slotCount <= SOON_FREE_MS
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
function sizeOf(run: PlacementRun, request: QueuedRow): JobSize {
  const { coreCount, memoryMb } = learnedSize(run.tables, request);
  return { coreCount, memoryMb: Math.min(memoryMb, run.largestVmMemoryMb) };
}

/**
 * Whether quota and headroom let a request start now. Headroom is kept both in the pool and in the
 * team's quota, since a team that fills its quota with overnight runs would block its own saves.
 */
function mayStart(run: PlacementRun, request: QueuedRow): boolean {
  const { load, owed } = run;
  const { team, urgency } = request;
  const quota = getTeamQuota(run.tables.settings, team);
  if (quota === undefined) return false;
  const { meanMs } = run.estimator.estimate(request.jobKind);
  const headroomOf = (slotCount: number): number =>
    owed.has(request) ? 0 : headroomSlotCount(urgency, slotCount, meanMs);
  const freeQuota = quota.slotCount - load.heldByTeamCount(team);
  return (
    freeQuota > headroomOf(Math.min(quota.slotCount, load.slotCount)) &&
    load.freeSlotCount > headroomOf(load.slotCount)
  );
}

/** Finds a VM for a request, and records sizes that fit on no VM. */
function findVm(run: PlacementRun, request: QueuedRow, size: JobSize): VmLoad | undefined {
  const sizeKey = `${request.urgency === 'urgent'}/${size.coreCount}/${size.memoryMb}`;
  if (run.unfitSizes.has(sizeKey)) return undefined;
  const chosen = chooseVm({ ...run, request, size });
  if (chosen === undefined && request.excludedVms.length === 0) run.unfitSizes.add(sizeKey);
  return chosen;
}

/**
 * Reserves a VM for a large job. Small jobs fit into every gap, so without a reservation a large
 * job would starve for as long as small ones arrive.
 */
function reserveFor(run: PlacementRun, request: QueuedRow, size: JobSize): void {
  const { load, nowMs } = run;
  if (run.reservedVms.size > 0 || nowMs - request.queuedAtMs < RESERVE_AFTER_MS) return;
  const carriers = load.vmLoads.filter(
    ({ vm }) =>
      vm.memoryMb >= size.memoryMb &&
      vm.coreCount >= size.coreCount &&
      !request.excludedVms.includes(vm.vm),
  );
  const emptiest = carriers.reduce<VmLoad | undefined>(
    (best, next) =>
      best === undefined || next.slackAfter(size) > best.slackAfter(size) ? next : best,
    undefined,
  );
  if (emptiest !== undefined) run.reservedVms.add(emptiest.vm.vm);
}

/** Places a request; undefined leaves it waiting. */
function tryPlace(run: PlacementRun, request: QueuedRow): PlacementDecision | undefined {
  if (!mayStart(run, request)) return undefined;
  const size = sizeOf(run, request);
  const chosen = findVm(run, request, size);
  if (chosen === undefined) {
    reserveFor(run, request, size);
    return undefined;
  }
  const { vm } = chosen.vm;
  run.load.countRun({ ...request, vm }, size, run.nowMs);
  return {
    type: 'place',
    attemptId: request.attemptId,
    vm,
    coreCount: size.coreCount,
    memoryMb: size.memoryMb,
    reason: `${chosen.usedSlotCount} of ${chosen.vm.slotCount} slots used, ${Math.floor(chosen.freeMemoryMb)} MB left, rack ${chosen.vm.rack} ${Math.round(run.load.rackLoadFraction(chosen) * 100)} % full`,
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
  const estimator = new RunEstimator(tables);
  const refusals = refuseHopeless(tables, { nowMs, estimator });
  const refusedIds = new Set(refusals.map((refusal) => refusal.attemptId));
  const requests = tables.queue.list().filter(({ attemptId }) => !refusedIds.has(attemptId));
  const load = new PoolLoad({ tables, nowMs });
  const order = orderQueue({ tables, load, requests, nowMs });
  const largestVmMemoryMb = tables.vms.list().reduce((most, vm) => Math.max(most, vm.memoryMb), 0);
  const run: PlacementRun = {
    ...options,
    tables,
    load,
    estimator,
    owed: order.owed,
    largestVmMemoryMb,
    unfitSizes: new Set(),
    reservedVms: new Set(),
  };
  const waiting: QueuedRow[] = [];
  const placements = order.requests.flatMap((request): readonly PlacementDecision[] => {
    const placement = tryPlace(run, request);
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
