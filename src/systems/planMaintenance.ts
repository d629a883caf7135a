import { groupBy } from '../utils/index.js';
import type { FleetVm } from '../vms/index.js';
import type { TargetLoad } from './PoolDemand.js';

/** A maintenance wave ordered by operators, and its progress. */
export interface MaintenanceWave {
  readonly wave: number;
  readonly vms: readonly string[];
  /** Most VMs of the wave that may be down for it at the same time. */
  readonly maxDownCount: number;
  /** Monotonic time by which the maintenance of every VM must have started, in milliseconds. */
  readonly deadlineMs: number;
  /** VMs whose maintenance has started or is no longer needed. */
  readonly doneVms: ReadonlySet<string>;
}

/** Input of {@link planMaintenance}. */
export interface PlanMaintenanceInput {
  readonly wave: MaintenanceWave;
  readonly vms: readonly FleetVm[];
  /** Load of each target that a home has reported. */
  readonly loads: ReadonlyMap<string, TargetLoad>;
  /** VMs that are being drained for the wave or are down for it. */
  readonly inProgress: ReadonlySet<string>;
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
  /** Observed time that a VM is out of service, in ms; {@link DEFAULT_STEP_MS} if absent. */
  readonly stepMs?: number;
}

/**
 * Longest time that a VM is out of service, in milliseconds: its tasks end within about 4 s, and
 * the maintenance takes 2 s.
 */
export const DEFAULT_STEP_MS = 6_000;
/** Safety margin before the deadline of a wave for slow VMs, in milliseconds. */
const DEADLINE_MARGIN_MS = 4_000;
/** Share of a pool's VMs that may be out of service at once while the wave is on schedule. */
const MAX_POOL_SHARE = 0.34;
const MIN_REMAINING_MS = 1_000;

/** Counts the VMs that must be out of service at once to complete the wave in time. */
function countNeededAtOnce(remainingCount: number, leftMs: number, stepMs: number): number {
  return Math.ceil((remainingCount * stepMs) / Math.max(leftMs, MIN_REMAINING_MS));
}

/**
 * Chooses the VMs to drain next for a wave: only as many at once as are needed to complete the wave
 * in time, those with the fewest runs first. While the wave is on schedule, no pool has more VMs
 * out of service than its limit.
 * @param input - The wave, the VMs and their load.
 * @returns Names of the VMs, in the order in which they are to be drained.
 */
export function planMaintenance(input: PlanMaintenanceInput): readonly string[] {
  const { wave, vms, loads, inProgress, nowMs, stepMs = DEFAULT_STEP_MS } = input;
  const inWave = new Set(wave.vms);
  const remaining = vms.filter(
    ({ vm, state }) =>
      inWave.has(vm) && !wave.doneVms.has(vm) && !inProgress.has(vm) && state === 'up',
  );
  const leftMs = wave.deadlineMs - DEADLINE_MARGIN_MS - nowMs;
  const neededCount = countNeededAtOnce(remaining.length + inProgress.size, leftMs, stepMs);
  const isLate = neededCount > wave.maxDownCount;
  const freeCount = Math.min(wave.maxDownCount, neededCount + 1) - inProgress.size;
  const upByPool = groupBy(
    vms.filter(({ state }) => state === 'up'),
    ({ pool }) => pool,
  );
  const outByPool = new Map<string, number>();
  vms
    .filter(({ vm }) => inProgress.has(vm))
    .forEach(({ pool }) => outByPool.set(pool, (outByPool.get(pool) ?? 0) + 1));
  const getRunCount = ({ targetId }: FleetVm): number =>
    targetId === undefined ? -1 : (loads.get(targetId)?.runCount ?? Infinity);
  return remaining
    .toSorted((a, b) => getRunCount(a) - getRunCount(b) || a.vm.localeCompare(b.vm))
    .filter((vm) => {
      const outCount = outByPool.get(vm.pool) ?? 0;
      const limit = Math.max(1, Math.floor((upByPool.get(vm.pool)?.length ?? 0) * MAX_POOL_SHARE));
      const mayDrain = vm.targetId === undefined || isLate || outCount < limit;
      if (mayDrain) outByPool.set(vm.pool, outCount + 1);
      return mayDrain;
    })
    .slice(0, Math.max(0, freeCount))
    .map(({ vm }) => vm);
}
