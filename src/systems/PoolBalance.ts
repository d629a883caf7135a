import type { FleetVm } from '../vms/index.js';
import type { PoolDemand, TargetLoad } from './PoolDemand.js';

/** State of the fleet by which pools are compared with their needs. */
export interface FleetInput {
  readonly demands: readonly PoolDemand[];
  readonly vms: readonly FleetVm[];
  /** Pools whose VMs are powered off until they move to another pool. */
  readonly standbyPools: ReadonlySet<string>;
  /** VMs that must not be moved: drained, moving, in a wave, or moved recently. */
  readonly heldVms: ReadonlySet<string>;
  /** Held VMs that stay in service in their pool: an earlier home has recently moved them there. */
  readonly usableHeldVms?: ReadonlySet<string>;
  /** VMs that are drained for their maintenance, whose tasks need room on others of their pool. */
  readonly maintainedVms?: ReadonlySet<string>;
  /** Number of VMs that are moving to each pool. */
  readonly arrivingByPool: ReadonlyMap<string, number>;
  /** Reserve VMs that each pool keeps without load; {@link MIN_RESERVE_COUNT} if absent. */
  readonly reserveCounts?: ReadonlyMap<string, number>;
}

/** VMs that a pool has or is about to have, compared with its needs. */
export interface PoolBalance {
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
  /** Usable VMs without long-running tasks, present or arriving, beyond the need for whole VMs. */
  readonly spareWholeCount: number;
}

/** Assumed CPU of one VM if the pool has no target, in thousandths of a core. */
const TYPICAL_VM_MILLICORES = 32_000;
/** Least reserve VMs of a pool without work, for the first tasks of its next load peak. */
export const MIN_RESERVE_COUNT = 3;

const NO_VMS: ReadonlySet<string> = new Set();

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

/** Tells whether a VM runs no long-running task and takes tasks that need all of it. */
function isUsableWhole(vm: FleetVm, loads: ReadonlyMap<string, TargetLoad>): boolean {
  return isWhole(vm, loads) && getLoad(loads, vm)?.takesTasks !== false;
}

/**
 * Compares the VMs of a pool with its needs.
 *
 * VMs that an earlier home has recently moved into the pool must not be moved, but are counted.
 * Otherwise they would seem to be missing once they are up, and would be ordered twice.
 *
 * While VMs are drained for their maintenance, the pool keeps as many more. Tasks of a service that
 * must not share a VM would otherwise find no other one, and the maintenance would be late.
 * @param demand - Load and demand of the pool.
 * @param input - State of the fleet.
 * @param loads - Loads of the fleet's targets.
 * @returns The comparison.
 */
export function balancePool(
  demand: PoolDemand,
  input: FleetInput,
  loads: ReadonlyMap<string, TargetLoad>,
): PoolBalance {
  const { vms, heldVms, usableHeldVms = NO_VMS, arrivingByPool, reserveCounts } = input;
  const { maintainedVms = NO_VMS } = input;
  const { pool, targets, neededCpuMillicores, lateCpuMillicores, waitingCpuMillicores } = demand;
  const upInPool = vms.filter((vm) => vm.pool === pool && vm.state === 'up');
  const movableVms = upInPool.filter(({ vm }) => !heldVms.has(vm));
  const usableHeldCount = upInPool.filter(({ vm }) => usableHeldVms.has(vm)).length;
  const maintainedCount = upInPool.filter(({ vm }) => maintainedVms.has(vm)).length;
  const reserveCount = (reserveCounts?.get(pool) ?? MIN_RESERVE_COUNT) + maintainedCount;
  const arrivingCount = usableHeldCount + (arrivingByPool.get(pool) ?? 0);
  const wholeCount = movableVms.filter((vm) => isUsableWhole(vm, loads)).length + arrivingCount;
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

/**
 * Compares VMs by their number of runs in ascending order; VMs with unknown load come last.
 * @param loads - Loads of the fleet's targets.
 * @returns The comparison, for sorting.
 */
export function compareByRunCount(
  loads: ReadonlyMap<string, TargetLoad>,
): (a: FleetVm, b: FleetVm) => number {
  const getRunCount = (vm: FleetVm): number => getLoad(loads, vm)?.runCount ?? Infinity;
  return (a, b) => getRunCount(a) - getRunCount(b);
}

/**
 * Lists the VMs that exceed the need and the reserve of a pool, those with the fewest runs first. A
 * VM that still runs tasks is drained before its move. VMs with long-running tasks stay.
 * @param balance - The pool.
 * @param retainedCount - VMs that the pool keeps.
 * @param loads - Loads of the fleet's targets.
 * @returns The VMs.
 */
export function listSpareVms(
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

/**
 * Lists the VMs that exceed the need and the reserve of a pool and that run nothing.
 * @param balance - The pool.
 * @param loads - Loads of the fleet's targets.
 * @returns The VMs.
 */
export function listIdleVms(
  balance: PoolBalance,
  loads: ReadonlyMap<string, TargetLoad>,
): readonly FleetVm[] {
  return listSpareVms(balance, balance.retainedCount, loads).filter(
    (vm) => getLoad(loads, vm)?.runCount === 0,
  );
}
