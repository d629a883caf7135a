import type { FleetVm } from '../vms/index.js';
import { indexLoads, type PoolDemand } from './PoolDemand.js';
import type { VmMove } from './planMoves.js';

/** Input of {@link planPowerOffs}. */
export interface PlanPowerOffsInput {
  readonly demands: readonly PoolDemand[];
  readonly vms: readonly FleetVm[];
  /** Pools whose VMs are powered off. */
  readonly standbyPools: ReadonlySet<string>;
  /** VMs that must not be moved, or are to move elsewhere. */
  readonly heldVms: ReadonlySet<string>;
  /** Number of VMs that are moving to each pool. */
  readonly arrivingByPool: ReadonlyMap<string, number>;
  /** VMs that each pool keeps: what it needs, and its reserve. */
  readonly retainedCounts: ReadonlyMap<string, number>;
  /** VMs that all pools together have lately needed at most. */
  readonly neededVmCount: number;
}

/** Most VMs that are ordered off at once, so that orders for pools in need are not delayed. */
const MAX_POWER_OFFS = 16;

function countArriving(
  arrivingByPool: ReadonlyMap<string, number>,
  standbyPools: ReadonlySet<string>,
): number {
  return [...arrivingByPool]
    .filter(([pool]) => !standbyPools.has(pool))
    .reduce((sum, [, count]) => sum + count, 0);
}

/**
 * Plans to power off idle VMs that no pool has lately needed.
 *
 * The load that it answers: rushes take turns among the pools, so the fleet as a whole needs far
 * fewer VMs than the sum of what each pool has needed at its peak. An idle VM of another pool is no
 * sooner at hand for a rush than one that is off, and costs as much as one that works.
 * @param input - The VMs, the demand, and what was needed lately.
 * @returns Moves to a pool of powered-off VMs; none if there is no such pool.
 */
export function planPowerOffs(input: PlanPowerOffsInput): readonly VmMove[] {
  const { demands, vms, standbyPools, heldVms, arrivingByPool, retainedCounts } = input;
  const [toPool] = standbyPools;
  if (toPool === undefined) return [];
  const loads = indexLoads(demands);
  const isInUse = ({ pool, state }: FleetVm): boolean => state === 'up' && !standbyPools.has(pool);
  const isMovable = (vm: FleetVm): boolean => isInUse(vm) && !heldVms.has(vm.vm);
  const poweredCount = vms.filter(isMovable).length + countArriving(arrivingByPool, standbyPools);
  const surplusCount = Math.min(MAX_POWER_OFFS, poweredCount - input.neededVmCount);
  if (surplusCount <= 0) return [];
  const isIdle = ({ targetId }: FleetVm): boolean =>
    targetId !== undefined && loads.get(targetId)?.runCount === 0;
  return demands
    .flatMap(({ pool }) => {
      const movable = vms.filter((vm) => vm.pool === pool && isMovable(vm));
      const spareCount = movable.length - (retainedCounts.get(pool) ?? movable.length);
      return movable.filter(isIdle).slice(0, Math.max(0, spareCount));
    })
    .slice(0, surplusCount)
    .map(({ vm, pool }) => ({ vm, fromPool: pool, toPool }));
}
