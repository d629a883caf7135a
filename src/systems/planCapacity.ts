import type { PoolTables, PoolVmRow, VmRow } from '../tables/index.js';
import { hashText } from '../utils/index.js';
import { fitsAnyJobKind } from './fitsAnyJobKind.js';
import type { CapacityDecision } from './decisions.js';
import { DomainSlots } from './DomainSlots.js';
import { getMaxStepsInProgress } from './getMaxStepsInProgress.js';
import { listUnmaintainedVms } from './listUnmaintainedVms.js';
import { updateLosses } from './updateLosses.js';
import { isLost, isQuarantined, listSteppedVms } from './vmStates.js';

/** How long a lost VM still counts: most come back at once, and a move costs more than that. */
const LOSS_GRACE_MS = 5_000;
/** How long a surplus has to last before VMs are released, so that swings in demand move none. */
const SURPLUS_HOLD_MS = 600_000;
/** How long a VM that the platform reports as gone stays with its pool. */
const GONE_HOLD_MS = 600_000;

/** Most VMs without gain in a row after which one more is tried, as later ones may gain. */
const MAX_ZERO_GAIN_COUNT = 2;

/** Options of {@link planCapacity}. */
export interface PlanCapacityOptions {
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** VMs that belong to no pool. */
  readonly unassignedVms: readonly VmRow[];
}

/** What a running wave needs of a pool. */
interface WaveNeed {
  /** VMs that it takes out at once. */
  readonly unavailableVmCount: number;
  /** Whether fewer VMs are left to maintain than it could take out at once. */
  readonly isEnding: boolean;
}

/** Present and required capacity of a pool. */
interface CapacityPlan {
  readonly tables: PoolTables;
  /** VMs that count towards the capacity. */
  readonly presentVms: readonly PoolVmRow[];
  readonly slots: DomainSlots;
  readonly dataCentreSlots: DomainSlots;
  /** Slots that have to remain after the loss of the largest failure domain. */
  readonly targetSlotCount: number;
  /** VMs that the pool needs so that a wave may take one of them out. */
  readonly targetVmCount: number;
  /** What the running wave needs of the pool; undefined if no wave runs. */
  readonly waveNeed: WaveNeed | undefined;
}

/** Whether a VM counts towards the capacity: it serves, is in a wave step, or was lost just now. */
function isPresent(
  tables: PoolTables,
  vm: PoolVmRow,
  steppedVms: ReadonlySet<string>,
  nowMs: number,
): boolean {
  if (vm.state === 'leaving' || isQuarantined(tables, vm.vm, nowMs)) return false;
  if (steppedVms.has(vm.vm) || vm.condition === 'accepting') return true;
  return isLost(vm) && nowMs - (tables.losses.get(vm.vm)?.sinceMs ?? nowMs) < LOSS_GRACE_MS;
}

/**
 * Finds what the running wave needs of the pool. A pool with no more than its needed slots could
 * never take a VM out, and the wave would wait for ever; a permanent reserve would leave idle VMs
 * in every pool all day. So VMs are borrowed while the wave runs, and only as many as its next
 * steps take out, since pools that are maintained at the same time share the spare VMs.
 */
function findWaveNeed(tables: PoolTables, steppedVms: ReadonlySet<string>): WaveNeed | undefined {
  const wave = tables.waves.list().find(({ state }) => state === 'running');
  if (wave === undefined) return undefined;
  const remainingVmCount = listUnmaintainedVms(tables, wave).length + steppedVms.size;
  const maxStepCount = getMaxStepsInProgress(tables, wave);
  return {
    unavailableVmCount: Math.min(remainingVmCount, maxStepCount),
    isEnding: remainingVmCount < maxStepCount,
  };
}

/** Slots of the pool's largest VM. */
function largestVmSlotCount(tables: PoolTables): number {
  return tables.vms.list().reduce((most, vm) => Math.max(most, vm.slotCount), 0);
}

/** Computes the present and the required capacity. */
function measureCapacity(tables: PoolTables, nowMs: number): CapacityPlan {
  const steppedVms = listSteppedVms(tables);
  const presentVms = tables.vms.list().filter((vm) => isPresent(tables, vm, steppedVms, nowMs));
  const slots = new DomainSlots(tables.settings.availability.failureDomain);
  const dataCentreSlots = new DomainSlots('data-centre');
  presentVms.forEach((vm) => slots.add(vm));
  presentVms.forEach((vm) => dataCentreSlots.add(vm));
  const waveNeed = findWaveNeed(tables, steppedVms);
  const unavailableVmCount = waveNeed?.unavailableVmCount ?? 0;
  const reserveSlotCount = unavailableVmCount * largestVmSlotCount(tables);
  const { maxUnavailableFraction } = tables.settings.availability;
  return {
    tables,
    presentVms,
    slots,
    dataCentreSlots,
    targetSlotCount: tables.settings.neededSlotCount + reserveSlotCount,
    targetVmCount: unavailableVmCount > 0 ? Math.ceil(1 / maxUnavailableFraction) : 0,
    waveNeed,
  };
}

/** Slots that a VM adds to those that remain after the loss of the largest domain. */
function getGain(slots: DomainSlots, largestSlotCount: number, vm: VmRow): number {
  const domainSlotCount = slots.countInDomainOf(vm) + vm.slotCount;
  return vm.slotCount - Math.max(0, domainSlotCount - largestSlotCount);
}

/** Sort key of a VM for adoption, compared element by element; the smallest is the best. */
type AdoptionRank = readonly number[];

/** Ranks a VM for adoption: most gain up to the missing slots, least waste, then widest spread. */
function rankForAdoption(
  plan: CapacityPlan,
  vm: VmRow,
  missingSlotCount: number,
  largestSlotCount: number,
): AdoptionRank {
  const usefulGain = Math.min(getGain(plan.slots, largestSlotCount, vm), missingSlotCount);
  return [
    -usefulGain,
    usefulGain >= missingSlotCount ? vm.slotCount : -vm.slotCount,
    plan.slots.countInDomainOf(vm),
    plan.dataCentreSlots.countInDomainOf(vm),
    // Homes that look for VMs at the same time should choose different ones.
    hashText(`${plan.tables.pool} ${vm.vm}`),
  ];
}

/** Compares two ranks. */
function compareRanks(left: AdoptionRank, right: AdoptionRank): number {
  const place = left.findIndex((value, index) => value !== right[index]);
  return place < 0 ? 0 : left[place]! - right[place]!;
}

/** Picks the candidate with the best rank. */
function pickAdoption(
  plan: CapacityPlan,
  candidates: readonly VmRow[],
  missingSlotCount: number,
): VmRow | undefined {
  const largestSlotCount = plan.slots.largestDomainSlotCount();
  const ranked = candidates.map((vm) => ({
    vm,
    rank: rankForAdoption(plan, vm, missingSlotCount, largestSlotCount),
  }));
  const first = ranked.reduce<(typeof ranked)[number] | undefined>(
    (best, next) => (best === undefined || compareRanks(next.rank, best.rank) < 0 ? next : best),
    undefined,
  );
  return first?.vm;
}

/** VMs that the pool may adopt. */
function listCandidates(plan: CapacityPlan, unassignedVms: readonly VmRow[]): readonly VmRow[] {
  const { dataCentres } = plan.tables.settings;
  return unassignedVms
    .filter((vm) => vm.state === 'live')
    .filter((vm) => dataCentres.length === 0 || dataCentres.includes(vm.dataCentre))
    .filter((vm) => fitsAnyJobKind(plan.tables.settings, vm));
}

/**
 * Plans the adoptions that the pool needs. If all failure domains are equally full, the next VM
 * alone gains nothing, since it enlarges the largest loss, but the VMs after it do gain. So a few
 * VMs without gain are accepted tentatively, and dropped if no later one gains either.
 */
function planAdoptions(
  plan: CapacityPlan,
  unassignedVms: readonly VmRow[],
): readonly CapacityDecision[] {
  const { slots, targetSlotCount, targetVmCount } = plan;
  const domain = plan.tables.settings.availability.failureDomain;
  const decisions: CapacityDecision[] = [];
  const needsMore = (): boolean =>
    slots.countAfterLoss() < targetSlotCount ||
    plan.presentVms.length + decisions.length < targetVmCount;
  if (!needsMore()) return decisions;
  let candidates = listCandidates(plan, unassignedVms);
  let usefulCount = 0;
  while (needsMore() && decisions.length - usefulCount <= MAX_ZERO_GAIN_COUNT) {
    const remainingSlotCount = slots.countAfterLoss();
    const isShort =
      slots.slotCount < targetSlotCount ||
      plan.presentVms.length + decisions.length < targetVmCount;
    const picked = pickAdoption(
      plan,
      candidates,
      Math.max(1, targetSlotCount - remainingSlotCount),
    );
    if (picked === undefined) return decisions.slice(0, usefulCount);
    decisions.push({
      type: 'adopt',
      vm: picked.vm,
      reason: `${remainingSlotCount} slots would be left after the loss of a ${domain}; ${targetSlotCount} are required`,
    });
    slots.add(picked);
    plan.dataCentreSlots.add(picked);
    candidates = candidates.filter((vm) => vm.vm !== picked.vm);
    if (isShort || slots.countAfterLoss() > remainingSlotCount) usefulCount = decisions.length;
  }
  return decisions.slice(0, usefulCount);
}

/** Names of VMs that hold grants, whose runs a move would interrupt. */
function listBusyVms(tables: PoolTables): ReadonlySet<string> {
  return new Set(tables.grants.list().map((grant) => grant.vm));
}

/** Releases VMs that the platform has long reported as gone, so that they free up the budget. */
function planGoneReleases(
  tables: PoolTables,
  busyVms: ReadonlySet<string>,
  nowMs: number,
): readonly CapacityDecision[] {
  return tables.vms
    .list()
    .filter((vm) => vm.state === 'gone' && !busyVms.has(vm.vm))
    .filter((vm) => nowMs - (tables.losses.get(vm.vm)?.sinceMs ?? nowMs) >= GONE_HOLD_MS)
    .map((vm) => ({ type: 'release', vm: vm.vm, reason: 'the VM is gone for good' }));
}

/** Plans the releases of VMs that the pool does not need; the largest VMs are released first. */
function planSurplusReleases(
  plan: CapacityPlan,
  busyVms: ReadonlySet<string>,
): readonly CapacityDecision[] {
  const { tables, slots } = plan;
  const { maxUnavailableFraction } = tables.settings.availability;
  if (slots.countAfterLoss() < plan.targetSlotCount) return [];
  const unavailableCount = tables.vms.size - plan.presentVms.length;
  const idleVms = plan.presentVms
    .filter((vm) => vm.condition === 'accepting' && !busyVms.has(vm.vm))
    .sort(
      (left, right) =>
        right.slotCount - left.slotCount ||
        slots.countInDomainOf(right) - slots.countInDomainOf(left) ||
        (left.vm < right.vm ? -1 : 1),
    );
  const releasedVms: string[] = [];
  idleVms.forEach((vm) => {
    const remainingVmCount = tables.vms.size - releasedVms.length - 1;
    slots.remove(vm);
    const suffices =
      slots.countAfterLoss() >= plan.targetSlotCount &&
      unavailableCount <= Math.floor(maxUnavailableFraction * remainingVmCount);
    if (suffices) releasedVms.push(vm.vm);
    else slots.add(vm);
  });
  return releasedVms.map((vm) => ({
    type: 'release',
    vm,
    reason: `${plan.targetSlotCount} slots are left without it after the loss of the largest failure domain`,
  }));
}

/**
 * Decides which unassigned VMs a pool adopts and which VMs it releases, with as few moves as its
 * budget allows. While a wave maintains the pool no surplus is released, and VMs in a step count as
 * present. So a wave moves only the VMs that the pool borrows at its start and returns at its end.
 * @param tables - State of the pool; its losses and surplus time are updated.
 * @param options - The time and the VMs without a pool.
 * @returns Adoptions or releases.
 */
export function planCapacity(
  tables: PoolTables,
  options: PlanCapacityOptions,
): readonly CapacityDecision[] {
  const { nowMs, unassignedVms } = options;
  updateLosses(tables, nowMs);
  const plan = measureCapacity(tables, nowMs);
  const adoptions = planAdoptions(plan, unassignedVms);
  const busyVms = listBusyVms(tables);
  const goneReleases = planGoneReleases(tables, busyVms, nowMs);
  const releases =
    adoptions.length > 0 || plan.waveNeed?.isEnding === false
      ? []
      : planSurplusReleases(plan, busyVms);
  if (releases.length === 0) {
    tables.noteSurplus(undefined);
    return [...adoptions, ...goneReleases];
  }
  const sinceMs = tables.surplusSinceMs ?? nowMs;
  tables.noteSurplus(sinceMs);
  // Other pools of the wave may wait for the VMs that this pool has borrowed.
  const hasLasted = plan.waveNeed?.isEnding === true || nowMs - sinceMs >= SURPLUS_HOLD_MS;
  return hasLasted ? [...goneReleases, ...releases] : goneReleases;
}
