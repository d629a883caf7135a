import type { FleetVm } from '../vms/index.js';
import type { ExpectedPeak } from './ExpectedPeak.js';
import { adjustReserves, getExpectedCounts } from './expectPeaks.js';
import {
  assignVms,
  getCurrentShortage,
  getForecastShortage,
  getWholeVmShortage,
  limitMoves,
  listShortages,
  shareShortages,
  type VmShortage,
} from './listShortages.js';
import {
  balancePool,
  compareByRunCount,
  type FleetInput,
  listIdleVms,
  listSpareVms,
  type PoolBalance,
} from './PoolBalance.js';
import { indexLoads, type TargetLoad } from './PoolDemand.js';
import type { VmMove } from './VmMove.js';

/** Input of {@link planMoves}. */
export interface PlanMovesInput extends FleetInput {
  /** Whether idle pools give up part of their reserve if another pool is short of VMs. */
  readonly releasesReserves?: boolean;
  /** Whether pools that are short at the same time share the free VMs. */
  readonly sharesShortages?: boolean;
  /** VMs of each pool that have been idle for long enough to be switched off; none if absent. */
  readonly idleCounts?: ReadonlyMap<string, number>;
  /** Load peaks that pools are expected to have; none if absent. */
  readonly expectedPeaks?: readonly ExpectedPeak[];
  /** Monotonic time in milliseconds, for the expected peaks. */
  readonly nowMs?: number;
}

/** Reserve VMs of a pool without work while another pool is short of VMs. */
const MIN_RESERVE_IN_SHORTAGE = 2;
/**
 * Most VMs that are switched off at once, so that a load peak that begins meanwhile finds most of
 * the calls per second that the platform accepts.
 */
const MAX_IDLE_MOVES = 16;

/** Pools of the fleet, and what decides about their VMs. */
interface FleetBalance {
  readonly input: PlanMovesInput;
  readonly balances: readonly PoolBalance[];
  readonly loads: ReadonlyMap<string, TargetLoad>;
}

function balanceFleet(input: PlanMovesInput): FleetBalance {
  const { demands, standbyPools, expectedPeaks = [], nowMs = 0, reserveCounts } = input;
  const loads = indexLoads(demands);
  const adjusted: PlanMovesInput =
    reserveCounts === undefined
      ? input
      : { ...input, reserveCounts: adjustReserves(reserveCounts, expectedPeaks, nowMs) };
  const balances = demands
    .filter(({ pool }) => !standbyPools.has(pool))
    .map((demand) => balancePool(demand, adjusted, loads));
  return { input: adjusted, balances, loads };
}

/** Lists the spare VMs of all pools, given what each one keeps; the fewest runs come first. */
function listAllSpareVms(
  { balances, loads }: FleetBalance,
  getRetainedCount: (balance: PoolBalance) => number,
): readonly FleetVm[] {
  return balances
    .flatMap((balance) => listSpareVms(balance, getRetainedCount(balance), loads))
    .toSorted(compareByRunCount(loads));
}

/** Lists the VMs of all pools that would be switched off if no pool needed them. */
function listAllIdleVms({ balances, loads }: FleetBalance): readonly FleetVm[] {
  return balances.flatMap((balance) => listIdleVms(balance, loads));
}

/**
 * Assigns VMs to pools that lack them at the same time, by the priority of their work or, without
 * sharing, to the largest shortage first.
 */
function assignToShort(
  { balances, input }: FleetBalance,
  shortages: readonly VmShortage[],
  available: readonly FleetVm[],
): readonly VmMove[] {
  const { sharesShortages = false } = input;
  const shared = sharesShortages
    ? shareShortages(shortages, balances, available.length)
    : shortages;
  return assignVms(shared, available);
}

function excludeAssigned(vms: readonly FleetVm[], assigned: readonly VmMove[]): readonly FleetVm[] {
  const names = new Set(assigned.map(({ vm }) => vm));
  return vms.filter(({ vm }) => !names.has(vm));
}

function countAssigned(assigned: readonly VmMove[], pool: string): number {
  return assigned.filter(({ toPool }) => toPool === pool).length;
}

/** Assigns free VMs to pools for the peaks that these are expected to have. */
function planMovesForExpectedPeaks(
  { balances, input }: FleetBalance,
  assigned: readonly VmMove[],
  available: readonly FleetVm[],
): readonly VmMove[] {
  const expectedCounts = getExpectedCounts(input.expectedPeaks ?? [], input.nowMs ?? 0);
  const shortages = listShortages(balances, 'forecast', ({ demand, availableCount }) => {
    const expectedCount = expectedCounts.get(demand.pool) ?? 0;
    return limitMoves(expectedCount - availableCount - countAssigned(assigned, demand.pool));
  });
  return assignVms(shortages, available);
}

/**
 * Assigns free VMs to the pools that lack them: first for tasks that fit on none of their VMs, then
 * for all tasks that run or wait now, and last for forecast load and for the peaks that pools are
 * expected to have. A forecast may be far off, and must not take the VMs that tasks wait for.
 */
function planMovesOfFreeVms(fleet: FleetBalance, available: readonly FleetVm[]): readonly VmMove[] {
  const { balances } = fleet;
  const whole = assignVms(listShortages(balances, 'shortage', getWholeVmShortage), available);
  const current = assignToShort(
    fleet,
    listShortages(
      balances,
      'shortage',
      (balance) => getCurrentShortage(balance) - getWholeVmShortage(balance),
    ),
    excludeAssigned(available, whole),
  );
  const forecast = assignVms(
    listShortages(
      balances,
      'forecast',
      (balance) => getForecastShortage(balance) - getCurrentShortage(balance),
    ),
    excludeAssigned(available, [...whole, ...current]),
  );
  const assigned = [...whole, ...current, ...forecast];
  const left = excludeAssigned(available, assigned);
  return [...assigned, ...planMovesForExpectedPeaks(fleet, assigned, left)];
}

/**
 * Moves reserve VMs of idle pools to pools that still lack VMs for tasks that run or wait. Forecast
 * load gets none of them: they would be missing at the start of their own pool's next load peak.
 */
function planMovesFromReserves(
  fleet: FleetBalance,
  assigned: readonly VmMove[],
): readonly VmMove[] {
  const shortages = listShortages(
    fleet.balances,
    'shortage',
    (balance) => getCurrentShortage(balance) - countAssigned(assigned, balance.demand.pool),
  );
  const reserves = listAllSpareVms(fleet, ({ needCount }) =>
    Math.max(needCount, MIN_RESERVE_IN_SHORTAGE),
  );
  return assignToShort(fleet, shortages, excludeAssigned(reserves, assigned));
}

/**
 * Moves VMs from work that is too late for its objective to pools that still lack VMs for work that
 * runs or waits and is on time. Forecast load gets none of them: forecasts may be far off, and late
 * work that makes no progress meanwhile soon has no value.
 *
 * This handles successive load peaks that exceed the fleet: otherwise the first pool keeps its VMs
 * for jobs that are late anyway, and every job of the next pool is late as well.
 */
function planMovesFromLateWork(
  fleet: FleetBalance,
  assigned: readonly VmMove[],
): readonly VmMove[] {
  const { releasesReserves = false } = fleet.input;
  const shortages = listShortages(
    fleet.balances,
    'shortage',
    ({ demand, onTimeNeedCount, currentNeedCount, availableCount }) =>
      limitMoves(
        Math.min(onTimeNeedCount, currentNeedCount) -
          availableCount -
          countAssigned(assigned, demand.pool),
      ),
  );
  const reclaimable = listAllSpareVms(fleet, ({ onTimeNeedCount, reserveCount }) =>
    Math.max(onTimeNeedCount, releasesReserves ? MIN_RESERVE_IN_SHORTAGE : reserveCount),
  );
  return assignToShort(fleet, shortages, excludeAssigned(reclaimable, assigned));
}

/** State of a pool's VMs, for operators and for the decision which VMs are switched off. */
export interface PoolSummary {
  readonly pool: string;
  /** VMs of the pool that are up and may be moved. */
  readonly upCount: number;
  readonly neededCount: number;
  /** VMs that run nothing and exceed the need and the reserve. */
  readonly idleCount: number;
}

/**
 * Summarizes the pools whose homes have answered.
 * @param input - Demand of the pools, and the VMs.
 * @returns A summary for each pool.
 */
export function summarizePools(input: PlanMovesInput): readonly PoolSummary[] {
  const { balances, loads } = balanceFleet(input);
  return balances.map((balance) => ({
    pool: balance.demand.pool,
    upCount: balance.movableVms.length,
    neededCount: balance.needCount,
    idleCount: listIdleVms(balance, loads).length,
  }));
}

/**
 * Switches off VMs that have been idle for long enough: they move to the standby pool, from which
 * a pool gets them back as fast as from another pool. What a pool expects to need soon stays on.
 */
function planIdleMoves({ balances, loads, input }: FleetBalance): readonly VmMove[] {
  const { idleCounts = new Map(), standbyPools, expectedPeaks = [], nowMs = 0 } = input;
  const [standbyPool] = standbyPools;
  if (standbyPool === undefined) return [];
  const expectedCounts = getExpectedCounts(expectedPeaks, nowMs);
  const getExcessCount = ({ demand, availableCount }: PoolBalance): number => {
    const excessCount = availableCount - (expectedCounts.get(demand.pool) ?? 0);
    return Math.max(0, Math.min(idleCounts.get(demand.pool) ?? 0, excessCount));
  };
  return balances
    .flatMap((balance) => listIdleVms(balance, loads).slice(0, getExcessCount(balance)))
    .slice(0, MAX_IDLE_MOVES)
    .map(({ vm, pool }) => ({ vm, fromPool: pool, toPool: standbyPool, reason: 'idle' }));
}

/**
 * Plans moves of VMs to pools that need more than they have. VMs that are powered off move first,
 * then VMs that other pools don't need, those with the fewest runs first, then reserves, and last
 * VMs that do late work. Where idle VMs are switched off, they move before those that are off: each
 * arrives as fast, and one that is switched off while another is switched on moves for nothing.
 *
 * Once all needs are met, pools get back their reserves for the start of their next load peak, and
 * VMs that have been idle for long are switched off.
 *
 * A load peak moves from pool to pool and needs more VMs than one pool has, while the others idle.
 * Arriving work counts as well as waiting work, since a peak lasts only a few times as long as a VM
 * takes to become available.
 * @param input - Demand of the pools, and the VMs.
 * @returns The moves.
 */
export function planMoves(input: PlanMovesInput): readonly VmMove[] {
  const { vms, standbyPools, heldVms, idleCounts, releasesReserves = false } = input;
  const standby = vms.filter(
    ({ vm, pool, state }) => standbyPools.has(pool) && state === 'up' && !heldVms.has(vm),
  );
  const fleet = balanceFleet(input);
  const spare = listAllSpareVms(fleet, ({ retainedCount }) => retainedCount);
  const idle = idleCounts === undefined ? [] : listAllIdleVms(fleet);
  const free = planMovesOfFreeVms(fleet, [...new Set([...idle, ...standby, ...spare])]);
  const fromReserves = releasesReserves ? planMovesFromReserves(fleet, free) : [];
  const assigned = [...free, ...fromReserves];
  const moves = [...assigned, ...planMovesFromLateWork(fleet, assigned)];
  if (moves.length > 0) return moves;
  const { reserveCounts } = fleet.input;
  const reserveShortages = listShortages(
    fleet.balances,
    'reserve',
    ({ reserveCount, availableCount }) =>
      reserveCounts === undefined ? 0 : limitMoves(reserveCount - availableCount),
  );
  const toReserves = assignVms(reserveShortages, [...spare, ...standby]);
  return toReserves.length > 0 ? toReserves : planIdleMoves(fleet);
}
