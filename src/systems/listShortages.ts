import type { FleetVm } from '../vms/index.js';
import type { PoolBalance } from './PoolBalance.js';
import { type PriorityShortage, shareVms } from './shareVms.js';
import type { MoveReason, VmMove } from './VmMove.js';

/** Number of VMs that a pool lacks and is to get. */
export interface VmShortage {
  readonly pool: string;
  readonly count: number;
  readonly reason: MoveReason;
}

/**
 * Most VMs that are ordered at once for one pool: half of the 64 calls per second that the platform
 * accepts. With much less, a load peak would get its last VMs seconds after the first.
 */
const MAX_MOVES_PER_POOL = 32;
/** Priority of waiting work that the home of a pool reports without one. */
const HIGHEST_PRIORITY = 0;

/**
 * Limits the number of VMs that are ordered at once for a pool.
 * @param missingCount - VMs that the pool lacks.
 * @returns The number to order.
 */
export function limitMoves(missingCount: number): number {
  return Math.min(MAX_MOVES_PER_POOL, Math.max(0, missingCount));
}

/**
 * Lists the pools that lack VMs, those that lack most first.
 * @param balances - The pools.
 * @param reason - Why they are to get VMs.
 * @param getMissingCount - Number of VMs that a pool lacks.
 * @returns The shortages.
 */
export function listShortages(
  balances: readonly PoolBalance[],
  reason: MoveReason,
  getMissingCount: (balance: PoolBalance) => number,
): readonly VmShortage[] {
  return balances
    .map((balance) => ({ pool: balance.demand.pool, count: getMissingCount(balance), reason }))
    .filter(({ count }) => count > 0)
    .toSorted((a, b) => b.count - a.count);
}

/**
 * Computes how many VMs a pool lacks for tasks that fit on none of its VMs.
 * @param balance - The pool.
 * @returns Number of VMs.
 */
export function getWholeVmShortage({ spareWholeCount }: PoolBalance): number {
  return limitMoves(-spareWholeCount);
}

/**
 * Computes how many VMs a pool lacks for all tasks that run or wait now.
 * @param balance - The pool.
 * @returns Number of VMs.
 */
export function getCurrentShortage(balance: PoolBalance): number {
  return Math.max(
    getWholeVmShortage(balance),
    limitMoves(balance.currentNeedCount - balance.availableCount),
  );
}

/**
 * Computes how many VMs a pool lacks for running, waiting and forecast load.
 * @param balance - The pool.
 * @returns Number of VMs.
 */
export function getForecastShortage(balance: PoolBalance): number {
  return Math.max(
    getCurrentShortage(balance),
    limitMoves(balance.needCount - balance.availableCount),
  );
}

/** Splits the shortage of a pool by the priority of its waiting work, the highest first. */
function splitByPriority(
  { pool, count }: VmShortage,
  balances: readonly PoolBalance[],
): readonly PriorityShortage[] {
  const demand = balances.find((balance) => balance.demand.pool === pool)?.demand;
  const waiting = demand?.waitingByPriority ?? [];
  const waitingMillicores = waiting.reduce((sum, { cpuMillicores }) => sum + cpuMillicores, 0);
  if (waitingMillicores === 0) return [{ pool, priority: HIGHEST_PRIORITY, count }];
  return waiting
    .toSorted((a, b) => a.priority - b.priority)
    .reduce<readonly PriorityShortage[]>((parts, { priority, cpuMillicores }) => {
      const leftCount = count - parts.reduce((sum, part) => sum + part.count, 0);
      const ofPriority = Math.ceil((count * cpuMillicores) / waitingMillicores);
      return [...parts, { pool, priority, count: Math.min(leftCount, ofPriority) }];
    }, [])
    .filter((part) => part.count > 0);
}

/**
 * Limits shortages to what their pools get of the free VMs: a part in proportion, the rest by the
 * priority of the waiting work.
 * @param shortages - Shortages of different pools.
 * @param balances - The pools.
 * @param freeCount - VMs that are free.
 * @returns The shortages with the numbers of VMs that the pools get.
 */
export function shareShortages(
  shortages: readonly VmShortage[],
  balances: readonly PoolBalance[],
  freeCount: number,
): readonly VmShortage[] {
  const parts = shortages.flatMap((shortage) => splitByPriority(shortage, balances));
  const counts = shareVms(parts, freeCount);
  const countFor = (pool: string): number =>
    parts.reduce((sum, part, index) => sum + (part.pool === pool ? counts[index]! : 0), 0);
  return shortages.map((shortage) => ({ ...shortage, count: countFor(shortage.pool) }));
}

/**
 * Assigns free VMs to shortages, in the order of both.
 * @param shortages - The shortages.
 * @param available - The free VMs.
 * @returns The moves.
 */
export function assignVms(
  shortages: readonly VmShortage[],
  available: readonly FleetVm[],
): readonly VmMove[] {
  const remaining = [...available];
  return shortages.flatMap(({ pool, count, reason }) =>
    remaining
      .splice(0, count)
      .map(({ vm, pool: fromPool }) => ({ vm, fromPool, toPool: pool, reason })),
  );
}
