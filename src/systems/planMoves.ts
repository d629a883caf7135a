import type { FleetVm } from '../vms/index.js';
import type { ExpectedPeak } from './ExpectedPeak.js';
import { indexLoads, type PoolDemand, type TargetLoad } from './PoolDemand.js';

/** A move of a VM to another pool. */
export interface VmMove {
  readonly vm: string;
  readonly fromPool: string;
  readonly toPool: string;
}

/** Input of {@link planMoves}. */
export interface PlanMovesInput {
  readonly demands: readonly PoolDemand[];
  readonly vms: readonly FleetVm[];
  /** Pools whose VMs are powered off until they move to another pool. */
  readonly standbyPools: ReadonlySet<string>;
  /** VMs that must not be moved: drained, moving, in a wave, or moved recently. */
  readonly heldVms: ReadonlySet<string>;
  /** Held VMs that stay in service in their pool: an earlier home has recently moved them there. */
  readonly usableHeldVms?: ReadonlySet<string>;
  /** Number of VMs that are moving to each pool. */
  readonly arrivingByPool: ReadonlyMap<string, number>;
  /** Reserve VMs that each pool keeps without load; {@link MIN_RESERVE_COUNT} if absent. */
  readonly reserveCounts?: ReadonlyMap<string, number>;
  /** Whether idle pools give up part of their reserve if another pool is short of VMs. */
  readonly releasesReserves?: boolean;
  /** Load peaks that pools are expected to have; none if absent. */
  readonly expectedPeaks?: readonly ExpectedPeak[];
  /** Monotonic time in milliseconds, to which the times of the expected peaks refer. */
  readonly nowMs?: number;
}

/** Assumed CPU of one VM if the pool has no target, in thousandths of a core. */
const TYPICAL_VM_MILLICORES = 32_000;
/** Least reserve VMs of a pool without work, for the first tasks of its next load peak. */
export const MIN_RESERVE_COUNT = 3;
/**
 * Reserve VMs of a pool without work while another pool is short of VMs. Otherwise a pool whose
 * load peak needed 1,200 cores had 600, while three idle pools kept 16 VMs of 32 cores in reserve.
 */
const MIN_RESERVE_IN_SHORTAGE = 2;
/**
 * Most VMs that are ordered at once for one pool: half of the 64 calls per second that the platform
 * accepts. At the start of a load peak, a pool of 50 targets needs 45; with a limit of 8 per
 * planning round, the last one waited for 2 s.
 */
const MAX_MOVES_PER_POOL = 32;

const NO_VMS: ReadonlySet<string> = new Set();

/** VMs that a pool has or is about to have, compared with its needs. */
interface PoolBalance {
  readonly demand: PoolDemand;
  /** VMs of the pool that are up and may be moved. */
  readonly movableVms: readonly FleetVm[];
  readonly availableCount: number;
  /** VMs needed for the tasks that run or wait now; at most the total need. */
  readonly currentNeedCount: number;
  /** VMs needed by the time at which a VM that is ordered now is available. */
  readonly needCount: number;
  /** Part of the total need for work that is not too late for its objective. */
  readonly onTimeNeedCount: number;
  /** Reserve VMs that the pool keeps without load. */
  readonly reserveCount: number;
  /** VMs that the pool does not give to other pools. */
  readonly retainedCount: number;
  /** VMs without long-running tasks, present or arriving, that exceed the need for whole VMs. */
  readonly spareWholeCount: number;
}

function getLoad(
  loads: ReadonlyMap<string, TargetLoad>,
  { targetId }: FleetVm,
): TargetLoad | undefined {
  return targetId === undefined ? undefined : loads.get(targetId);
}

/** Tells whether a VM is known to run no long-running task. */
function isWhole(vm: FleetVm, loads: ReadonlyMap<string, TargetLoad>): boolean {
  return getLoad(loads, vm)?.longRunningCount === 0;
}

/**
 * Compares the VMs of a pool with its needs.
 *
 * VMs that an earlier home has recently moved into the pool must not be moved, but are counted.
 * Otherwise they would seem to be missing once they are up, and would be ordered twice: a pool with
 * a need of 124 VMs had 182, and the next pool started its load peak with 3.
 */
function balancePool(
  demand: PoolDemand,
  input: PlanMovesInput,
  loads: ReadonlyMap<string, TargetLoad>,
): PoolBalance {
  const { vms, heldVms, usableHeldVms = NO_VMS, arrivingByPool, reserveCounts } = input;
  const { pool, targets, neededCpuMillicores, lateCpuMillicores, waitingCpuMillicores } = demand;
  const upInPool = vms.filter((vm) => vm.pool === pool && vm.state === 'up');
  const movableVms = upInPool.filter(({ vm }) => !heldVms.has(vm));
  const usableHeldCount = upInPool.filter(({ vm }) => usableHeldVms.has(vm)).length;
  const reserveCount = reserveCounts?.get(pool) ?? MIN_RESERVE_COUNT;
  const arrivingCount = usableHeldCount + (arrivingByPool.get(pool) ?? 0);
  const wholeCount = movableVms.filter((vm) => isWhole(vm, loads)).length + arrivingCount;
  const vmMillicores = targets[0]?.cpuMillicores ?? TYPICAL_VM_MILLICORES;
  const needCount = Math.ceil(neededCpuMillicores / vmMillicores);
  const usedCpuMillicores = targets.reduce((sum, target) => sum + target.usedCpuMillicores, 0);
  const currentNeedCount = Math.ceil((usedCpuMillicores + waitingCpuMillicores) / vmMillicores);
  return {
    demand,
    movableVms,
    availableCount: movableVms.length + arrivingCount,
    currentNeedCount: Math.min(needCount, currentNeedCount),
    needCount,
    onTimeNeedCount: Math.ceil((neededCpuMillicores - lateCpuMillicores) / vmMillicores),
    reserveCount,
    retainedCount: Math.max(needCount, reserveCount),
    spareWholeCount: wholeCount - demand.wholeVmCount,
  };
}

/** Number of VMs that a pool lacks and is to get. */
interface VmShortage {
  readonly pool: string;
  readonly count: number;
}

/** Compares VMs by their number of runs in ascending order; VMs with unknown load come last. */
function compareByRunCount(
  loads: ReadonlyMap<string, TargetLoad>,
): (a: FleetVm, b: FleetVm) => number {
  const getRunCount = (vm: FleetVm): number => getLoad(loads, vm)?.runCount ?? Infinity;
  return (a, b) => getRunCount(a) - getRunCount(b);
}

/**
 * Lists the VMs that exceed the need and the reserve of a pool, those with the fewest runs first. A
 * VM that still runs tasks is drained before its move. VMs with long-running tasks stay.
 */
function listSpareVms(
  { movableVms, availableCount, spareWholeCount }: PoolBalance,
  retainedCount: number,
  loads: ReadonlyMap<string, TargetLoad>,
): readonly FleetVm[] {
  const spareCount = Math.min(availableCount - retainedCount, spareWholeCount);
  return movableVms
    .filter((vm) => isWhole(vm, loads))
    .toSorted(compareByRunCount(loads))
    .slice(0, Math.max(0, spareCount));
}

/** Lists the spare VMs of all pools, given what each one keeps; the fewest runs come first. */
function listAllSpareVms(
  balances: readonly PoolBalance[],
  getRetainedCount: (balance: PoolBalance) => number,
  loads: ReadonlyMap<string, TargetLoad>,
): readonly FleetVm[] {
  return balances
    .flatMap((balance) => listSpareVms(balance, getRetainedCount(balance), loads))
    .toSorted(compareByRunCount(loads));
}

/** Limits the number of VMs that are ordered at once for a pool. */
function limitMoves(missingCount: number): number {
  return Math.min(MAX_MOVES_PER_POOL, Math.max(0, missingCount));
}

/** Lists the pools that lack VMs, those that lack most first. */
function listShortages(
  balances: readonly PoolBalance[],
  getMissingCount: (balance: PoolBalance) => number,
): readonly VmShortage[] {
  return balances
    .map((balance) => ({ pool: balance.demand.pool, count: getMissingCount(balance) }))
    .filter(({ count }) => count > 0)
    .toSorted((a, b) => b.count - a.count);
}

/**
 * Lists the VMs that pools lack, by priority: first for tasks that fit on none of their VMs, then
 * for all tasks that run or wait now, and last for forecast load. Forecasts may be far off: one of
 * four times the fleet took every free VM, while tasks of a pool at the start of its load peak
 * waited with three VMs.
 */
function listShortagesByPriority(balances: readonly PoolBalance[]): readonly VmShortage[] {
  const getWholeVmShortage = ({ spareWholeCount }: PoolBalance): number =>
    limitMoves(-spareWholeCount);
  const getCurrentShortage = (balance: PoolBalance): number =>
    Math.max(
      getWholeVmShortage(balance),
      limitMoves(balance.currentNeedCount - balance.availableCount),
    );
  const getForecastShortage = (balance: PoolBalance): number =>
    Math.max(getCurrentShortage(balance), limitMoves(balance.needCount - balance.availableCount));
  return [
    ...listShortages(balances, getWholeVmShortage),
    ...listShortages(
      balances,
      (balance) => getCurrentShortage(balance) - getWholeVmShortage(balance),
    ),
    ...listShortages(
      balances,
      (balance) => getForecastShortage(balance) - getCurrentShortage(balance),
    ),
  ];
}

function assignVms(
  shortages: readonly VmShortage[],
  available: readonly FleetVm[],
): readonly VmMove[] {
  const remaining = [...available];
  return shortages.flatMap(({ pool, count }) =>
    remaining.splice(0, count).map(({ vm, pool: fromPool }) => ({ vm, fromPool, toPool: pool })),
  );
}

/**
 * Moves VMs from work that is too late for its objective to pools that still lack VMs for work that
 * runs or waits and is on time. Forecast load gets none of them: forecasts may be far off, and late
 * work that makes no progress meanwhile soon has no value.
 *
 * This handles successive load peaks that exceed the fleet: the first pool kept 44 of 70 VMs for
 * jobs that had a tenth of their value left, and every job of the next pool, which had six VMs, was
 * late.
 */
function planMovesFromLateWork(
  balances: readonly PoolBalance[],
  assigned: readonly VmMove[],
  loads: ReadonlyMap<string, TargetLoad>,
  releasesReserves: boolean,
): readonly VmMove[] {
  const countAssigned = (pool: string): number =>
    assigned.filter(({ toPool }) => toPool === pool).length;
  const shortages = listShortages(
    balances,
    ({ demand, onTimeNeedCount, currentNeedCount, availableCount }) =>
      limitMoves(
        Math.min(onTimeNeedCount, currentNeedCount) - availableCount - countAssigned(demand.pool),
      ),
  );
  const assignedNames = new Set(assigned.map(({ vm }) => vm));
  const getRetainedCount = ({ onTimeNeedCount, reserveCount }: PoolBalance): number =>
    Math.max(onTimeNeedCount, releasesReserves ? MIN_RESERVE_IN_SHORTAGE : reserveCount);
  const reclaimable = listAllSpareVms(balances, getRetainedCount, loads);
  return assignVms(
    shortages,
    reclaimable.filter(({ vm }) => !assignedNames.has(vm)),
  );
}

/**
 * Plans moves of VMs to pools that need more than they have. VMs that are powered off move first,
 * then VMs that other pools don't need, those with the fewest runs first. Once all needs are met,
 * pools get back their reserves for the start of their next load peak. Idle VMs stay powered on:
 * those that are off are as far from the next load peak as those of another pool, and each way
 * costs as much as three idle seconds.
 *
 * A load peak moves from pool to pool and needs more VMs than one pool has, while the others idle.
 * While tasks wait for a VM, its work is worth about fifteen times its cost. Arriving work counts
 * as well as waiting work, since a VM takes 2 s to become available and a peak lasts 5 s.
 * @param input - Demand of the pools, and the VMs.
 * @returns The moves.
 */
export function planMoves(input: PlanMovesInput): readonly VmMove[] {
  const { demands, vms, standbyPools, heldVms, reserveCounts, releasesReserves = false } = input;
  const standby = vms.filter(
    ({ vm, pool, state }) => standbyPools.has(pool) && state === 'up' && !heldVms.has(vm),
  );
  const loads = indexLoads(demands);
  const balances = demands
    .filter(({ pool }) => !standbyPools.has(pool))
    .map((demand) => balancePool(demand, input, loads));
  const spare = listAllSpareVms(balances, ({ retainedCount }) => retainedCount, loads);
  const shortages = listShortagesByPriority(balances);
  const reserves =
    releasesReserves && shortages.length > 0
      ? listAllSpareVms(
          balances,
          ({ needCount }) => Math.max(needCount, MIN_RESERVE_IN_SHORTAGE),
          loads,
        )
      : [];
  // VMs are assigned in this order, so reserves are used only when nothing else is left.
  const available = [...new Set([...standby, ...spare, ...reserves])];
  const assigned = assignVms(shortages, available);
  const moves = [
    ...assigned,
    ...planMovesFromLateWork(balances, assigned, loads, releasesReserves),
  ];
  if (moves.length > 0) return moves;
  return assignVms(
    listShortages(balances, ({ demand, availableCount }) =>
      limitMoves((reserveCounts?.get(demand.pool) ?? 0) - availableCount),
    ),
    [...spare, ...standby],
  );
}
