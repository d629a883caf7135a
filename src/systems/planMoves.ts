import type { FleetVm } from '../vms/index.js';
import type { PoolDemand, TargetLoad } from './PoolDemand.js';

/** A VM that is to change its pool. */
export interface VmMove {
  readonly vm: string;
  readonly fromPool: string;
  readonly toPool: string;
}

/** What {@link planMoves} decides over. */
export interface PlanMovesInput {
  readonly demands: readonly PoolDemand[];
  readonly vms: readonly FleetVm[];
  /** Pools whose VMs are switched off until they are moved elsewhere. */
  readonly standbyPools: ReadonlySet<string>;
  /** VMs that are left alone: drained, moving, in a wave, or moved a moment ago. */
  readonly heldVms: ReadonlySet<string>;
  /** VMs on their way to each pool. */
  readonly arrivingByPool: ReadonlyMap<string, number>;
}

/** Processor of one VM where no target of the pool tells it, in thousandths of a core. */
const TYPICAL_VM_MILLICORES = 32_000;
/** VMs that a pool without waiting work keeps, for the first tasks of its next rush. */
const MIN_KEPT_COUNT = 2;
/** Most VMs that are ordered at once for one pool; the next look is a fraction of a second away. */
const MAX_MOVES_PER_POOL = 6;
/** Waiting work, as a share of a VM, from which another VM is worth its move. */
const WORTHWHILE_SHARE = 0.3;

function countNeeded({ waitingCpuMillicores, targets }: PoolDemand, arrivingCount: number): number {
  const vmMillicores = targets[0]?.cpuMillicores ?? TYPICAL_VM_MILLICORES;
  const needed = waitingCpuMillicores / vmMillicores - arrivingCount;
  return Math.min(MAX_MOVES_PER_POOL, Math.ceil(needed - WORTHWHILE_SHARE));
}

/** Idle VMs of pools without waiting work, beyond those that each pool keeps. */
function listSpareVms({ demands, vms, heldVms }: PlanMovesInput): readonly FleetVm[] {
  return demands
    .filter(({ waitingCpuMillicores }) => waitingCpuMillicores === 0)
    .flatMap(({ pool, targets }) => {
      const loads = new Map<string, TargetLoad>(targets.map((load) => [load.targetId, load]));
      const up = vms.filter((vm) => vm.pool === pool && vm.state === 'up' && !heldVms.has(vm.vm));
      const idle = up.filter(({ targetId }) => loads.get(targetId ?? '')?.runCount === 0);
      return idle.slice(0, Math.max(0, up.length - MIN_KEPT_COUNT));
    });
}

/**
 * Gives VMs to pools whose tasks wait: those that are switched off first, then idle ones of pools
 * without waiting tasks.
 *
 * Answers a rush that moves from pool to pool and asks for more than one pool holds, while the
 * others idle: a VM does about fifteen times in worth of what it costs while tasks wait for it.
 * @param input - Demand of the pools, and the VMs.
 * @returns The moves.
 */
export function planMoves(input: PlanMovesInput): readonly VmMove[] {
  const { demands, vms, standbyPools, heldVms, arrivingByPool } = input;
  const standby = vms.filter(
    ({ vm, pool, state }) => standbyPools.has(pool) && state === 'up' && !heldVms.has(vm),
  );
  const available = [...standby, ...listSpareVms(input)];
  return demands
    .map((demand) => ({
      pool: demand.pool,
      count: countNeeded(demand, arrivingByPool.get(demand.pool) ?? 0),
    }))
    .filter(({ pool, count }) => count > 0 && !standbyPools.has(pool))
    .toSorted((a, b) => b.count - a.count)
    .flatMap(({ pool, count }) =>
      available.splice(0, count).map(({ vm, pool: fromPool }) => ({ vm, fromPool, toPool: pool })),
    );
}
