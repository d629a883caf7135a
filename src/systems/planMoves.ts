import type { FleetVm } from '../vms/index.js';
import { indexLoads, type PoolDemand, type TargetLoad } from './PoolDemand.js';

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
  /** Held VMs that work on where they are: an earlier home has just ordered them. */
  readonly stayingVms?: ReadonlySet<string>;
  /** VMs on their way to each pool. */
  readonly arrivingByPool: ReadonlyMap<string, number>;
  /** VMs that each pool keeps without a need; {@link MIN_KEPT_COUNT} where it is absent. */
  readonly keptCounts?: ReadonlyMap<string, number>;
  /** Whether idle pools give of what they keep where another pool is short. */
  readonly yieldsKept?: boolean;
}

/** Processor of one VM where no target of the pool tells it, in thousandths of a core. */
const TYPICAL_VM_MILLICORES = 32_000;
/** Least VMs that a pool without work keeps, for the first tasks of its next rush. */
export const MIN_KEPT_COUNT = 3;
/**
 * VMs that a pool without work keeps while another pool is short. A rush at its height asked for
 * 1,200 cores and had 600, while three idle pools kept 16 VMs of 32 cores for rushes to come.
 */
const MIN_KEPT_IN_SHORTAGE = 2;
/**
 * Most VMs that are ordered at once for one pool: half of the 64 calls a second that the platform
 * takes. A pool of 50 targets whose rush begins asks for 45; at 8 a look the last waited for 2 s.
 */
const MAX_MOVES_PER_POOL = 32;

const NO_VMS: ReadonlySet<string> = new Set();

/** A pool with the VMs that it has, or is about to have, and needs. */
interface PoolBalance {
  readonly demand: PoolDemand;
  /** Those that may be given away. */
  readonly upVms: readonly FleetVm[];
  readonly haveCount: number;
  /** VMs that carry what runs and waits now; never more than the need. */
  readonly presentCount: number;
  /** VMs that are needed by the time at which one that is ordered now is there. */
  readonly needCount: number;
  /** Those of them that work in time needs. */
  readonly timelyCount: number;
  /** VMs that the pool keeps without a need. */
  readonly idleCount: number;
  /** VMs that the pool does not give away. */
  readonly keptCount: number;
  /** VMs without long-running tasks, there or on their way, beyond those that tasks need whole. */
  readonly spareWholeCount: number;
}

function getLoad(
  loads: ReadonlyMap<string, TargetLoad>,
  { targetId }: FleetVm,
): TargetLoad | undefined {
  return targetId === undefined ? undefined : loads.get(targetId);
}

/** Tells whether a VM is known to carry no long-running task. */
function isWhole(vm: FleetVm, loads: ReadonlyMap<string, TargetLoad>): boolean {
  return getLoad(loads, vm)?.longRunningCount === 0;
}

/**
 * Compares what a pool has with what it needs.
 *
 * Guards against VMs that are ordered twice: those that an earlier home had moved into a pool are
 * left alone for a while, and not counted they would be missed the moment they are up. A pool with
 * a need of 124 had 182 VMs then, and the next one began its rush with 3.
 */
function balancePool(
  demand: PoolDemand,
  input: PlanMovesInput,
  loads: ReadonlyMap<string, TargetLoad>,
): PoolBalance {
  const { vms, heldVms, stayingVms = NO_VMS, arrivingByPool, keptCounts } = input;
  const { pool, targets, neededCpuMillicores, lateCpuMillicores, waitingCpuMillicores } = demand;
  const upInPool = vms.filter((vm) => vm.pool === pool && vm.state === 'up');
  const upVms = upInPool.filter(({ vm }) => !heldVms.has(vm));
  const stayingCount = upInPool.filter(({ vm }) => stayingVms.has(vm)).length;
  const idleCount = keptCounts?.get(pool) ?? MIN_KEPT_COUNT;
  const comingCount = stayingCount + (arrivingByPool.get(pool) ?? 0);
  const wholeCount = upVms.filter((vm) => isWhole(vm, loads)).length + comingCount;
  const vmMillicores = targets[0]?.cpuMillicores ?? TYPICAL_VM_MILLICORES;
  const needCount = Math.ceil(neededCpuMillicores / vmMillicores);
  const usedCpuMillicores = targets.reduce((sum, target) => sum + target.usedCpuMillicores, 0);
  const presentCount = Math.ceil((usedCpuMillicores + waitingCpuMillicores) / vmMillicores);
  return {
    demand,
    upVms,
    haveCount: upVms.length + comingCount,
    presentCount: Math.min(needCount, presentCount),
    needCount,
    timelyCount: Math.ceil((neededCpuMillicores - lateCpuMillicores) / vmMillicores),
    idleCount,
    keptCount: Math.max(needCount, idleCount),
    spareWholeCount: wholeCount - demand.wholeVmCount,
  };
}

/** VMs that a pool is to get. */
interface WantedVms {
  readonly pool: string;
  readonly count: number;
}

/** Puts the VMs with the fewest tasks first, and those of which nothing is known last. */
function byRunCount(loads: ReadonlyMap<string, TargetLoad>): (a: FleetVm, b: FleetVm) => number {
  const getRunCount = (vm: FleetVm): number => getLoad(loads, vm)?.runCount ?? Infinity;
  return (a, b) => getRunCount(a) - getRunCount(b);
}

/**
 * VMs of a pool beyond what it needs and keeps, those with the fewest tasks first; one that still
 * works is emptied first. VMs with long-running tasks stay.
 */
function listSpareVms(
  { upVms, haveCount, spareWholeCount }: PoolBalance,
  keptCount: number,
  loads: ReadonlyMap<string, TargetLoad>,
): readonly FleetVm[] {
  const spareCount = Math.min(haveCount - keptCount, spareWholeCount);
  return upVms
    .filter((vm) => isWhole(vm, loads))
    .toSorted(byRunCount(loads))
    .slice(0, Math.max(0, spareCount));
}

/** Spare VMs of all pools, given what each keeps; those with the fewest tasks first. */
function listAllSpareVms(
  balances: readonly PoolBalance[],
  getKeptCount: (balance: PoolBalance) => number,
  loads: ReadonlyMap<string, TargetLoad>,
): readonly FleetVm[] {
  return balances
    .flatMap((balance) => listSpareVms(balance, getKeptCount(balance), loads))
    .toSorted(byRunCount(loads));
}

/** Limits the VMs that a pool misses to those that are ordered at once. */
function limitMoves(missingCount: number): number {
  return Math.min(MAX_MOVES_PER_POOL, Math.max(0, missingCount));
}

/** Pools that miss VMs, those that miss most first. */
function listWanted(
  balances: readonly PoolBalance[],
  getMissingCount: (balance: PoolBalance) => number,
): readonly WantedVms[] {
  return balances
    .map((balance) => ({ pool: balance.demand.pool, count: getMissingCount(balance) }))
    .filter(({ count }) => count > 0)
    .toSorted((a, b) => b.count - a.count);
}

/**
 * Lists what pools miss for tasks that fit on none of their VMs, then for all that runs and waits
 * now, and after that for what is foreseen. A foreseen need may be off by far: one of four times
 * the fleet took every VM that was free, while tasks of the pool whose rush had begun waited with
 * three VMs.
 */
function listNeeded(balances: readonly PoolBalance[]): readonly WantedVms[] {
  const getWhole = ({ spareWholeCount }: PoolBalance): number => limitMoves(-spareWholeCount);
  const getPresent = (balance: PoolBalance): number =>
    Math.max(getWhole(balance), limitMoves(balance.presentCount - balance.haveCount));
  const getForeseen = (balance: PoolBalance): number =>
    Math.max(getPresent(balance), limitMoves(balance.needCount - balance.haveCount));
  return [
    ...listWanted(balances, getWhole),
    ...listWanted(balances, (balance) => getPresent(balance) - getWhole(balance)),
    ...listWanted(balances, (balance) => getForeseen(balance) - getPresent(balance)),
  ];
}

function giveVms(wanted: readonly WantedVms[], available: readonly FleetVm[]): readonly VmMove[] {
  const left = [...available];
  return wanted.flatMap(({ pool, count }) =>
    left.splice(0, count).map(({ vm, pool: fromPool }) => ({ vm, fromPool, toPool: pool })),
  );
}

/**
 * Takes VMs from work that is too late for its objective and gives them to work in time that runs
 * or waits now and still misses some. What is only foreseen takes none: it may be off by far, and
 * late work that stands still meanwhile is soon worth nothing.
 *
 * Answers rushes that ask for more than the fleet, one pool after the other: the first pool held 44
 * of 70 VMs for jobs that were worth a tenth by then, and in the next one, with six VMs, every job
 * came late in its turn.
 */
function planYields(
  balances: readonly PoolBalance[],
  given: readonly VmMove[],
  loads: ReadonlyMap<string, TargetLoad>,
  yieldsKept: boolean,
): readonly VmMove[] {
  const countGiven = (pool: string): number => given.filter(({ toPool }) => toPool === pool).length;
  const wanted = listWanted(balances, ({ demand, timelyCount, presentCount, haveCount }) =>
    limitMoves(Math.min(timelyCount, presentCount) - haveCount - countGiven(demand.pool)),
  );
  const taken = new Set(given.map(({ vm }) => vm));
  const getKeptCount = ({ timelyCount, idleCount }: PoolBalance): number =>
    Math.max(timelyCount, yieldsKept ? MIN_KEPT_IN_SHORTAGE : idleCount);
  const yielding = listAllSpareVms(balances, getKeptCount, loads);
  return giveVms(
    wanted,
    yielding.filter(({ vm }) => !taken.has(vm)),
  );
}

/**
 * Gives VMs to pools that need more than they have: those that are switched off first, then those
 * that another pool does not need, with the fewest tasks first. Once needs are met, pools get back
 * what they keep for the front of their next rush. What idles then stays on: VMs that were switched
 * off for up to 10 s were paid for all the same, with 70 moves more a day.
 *
 * Answers a rush that moves from pool to pool and asks for more than one pool holds, while the
 * others idle: a VM does about fifteen times in worth of what it costs while tasks wait for it.
 * What arrives counts beside what waits, since a VM comes 2 s after its order and a rush lasts 5.
 * @param input - Demand of the pools, and the VMs.
 * @returns The moves.
 */
export function planMoves(input: PlanMovesInput): readonly VmMove[] {
  const { demands, vms, standbyPools, heldVms, keptCounts, yieldsKept = false } = input;
  const standby = vms.filter(
    ({ vm, pool, state }) => standbyPools.has(pool) && state === 'up' && !heldVms.has(vm),
  );
  const loads = indexLoads(demands);
  const balances = demands
    .filter(({ pool }) => !standbyPools.has(pool))
    .map((demand) => balancePool(demand, input, loads));
  const spare = listAllSpareVms(balances, ({ keptCount }) => keptCount, loads);
  const wanted = listNeeded(balances);
  const kept =
    yieldsKept && wanted.length > 0
      ? listAllSpareVms(
          balances,
          ({ needCount }) => Math.max(needCount, MIN_KEPT_IN_SHORTAGE),
          loads,
        )
      : [];
  // The first ones are given first, so what is kept goes only where nothing else is left.
  const available = [...new Set([...standby, ...spare, ...kept])];
  const given = giveVms(wanted, available);
  const moves = [...given, ...planYields(balances, given, loads, yieldsKept)];
  if (moves.length > 0) return moves;
  return giveVms(
    listWanted(balances, ({ demand, haveCount }) =>
      limitMoves((keptCounts?.get(demand.pool) ?? 0) - haveCount),
    ),
    [...spare, ...standby],
  );
}
