import type { PoolTables, PoolVmRow, WaveRow, WaveStepRow } from '../tables/index.js';
import { AvailabilityBudget } from './AvailabilityBudget.js';
import type { WaveDecision } from './decisions.js';
import { findWaveFailure, listSuspectVms } from './findWaveFailure.js';
import { getFailureDomain } from './getFailureDomain.js';
import { getMaxStepsInProgress } from './getMaxStepsInProgress.js';
import { isWithinWindow } from './isWithinWindow.js';
import { listUnmaintainedVms } from './listUnmaintainedVms.js';
import { updateLosses } from './updateLosses.js';
import { NO_PROGRESS, type WaveProgress } from './WaveProgress.js';

/** Options of {@link planWaveSteps}. */
export interface PlanWaveStepsOptions {
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** Minutes since midnight at the pool's location, for its maintenance window. */
  readonly minuteOfDay: number;
  /** Progress of each wave over all pools; without it each pool starts independently. */
  readonly fleetProgress?: ReadonlyMap<string, WaveProgress>;
  /**
   * Racks, as `data centre/rack`, whose VMs are all gone, over all pools. If a pool's few VMs in a
   * lost rack were all maintained, the pool alone cannot tell this loss from faulty maintenance and
   * would stop the wave; the rack's other VMs show the difference.
   */
  readonly failedRacks?: ReadonlySet<string>;
}

/** State of the planning of one wave. */
interface WavePlan extends PlanWaveStepsOptions {
  readonly tables: PoolTables;
  readonly wave: WaveRow;
  readonly steps: readonly WaveStepRow[];
  readonly budget: AvailabilityBudget;
}

/** VMs still to maintain: those already unavailable first, then rack by rack. */
function listRemainingVms(plan: WavePlan): readonly PoolVmRow[] {
  const { failureDomain } = plan.tables.settings.availability;
  const sortKeys = new Map<PoolVmRow, string>();
  listUnmaintainedVms(plan.tables, plan.wave).forEach((vm) => {
    const out = plan.budget.isAccepting(vm.vm) ? 1 : 0;
    const domain = getFailureDomain(vm, failureDomain === 'data-centre' ? failureDomain : 'rack');
    sortKeys.set(vm, [out, domain, getFailureDomain(vm, 'rack'), vm.worker, vm.vm].join(' '));
  });
  const compare = (left: PoolVmRow, right: PoolVmRow): number =>
    sortKeys.get(left)! < sortKeys.get(right)! ? -1 : 1;
  return [...sortKeys.keys()].sort(compare);
}

/**
 * Whether the pool may begin with a wave over several pools. If every home began at once, faulty
 * maintenance would break a VM in each pool before the first failure shows. So the pools join one
 * by one as VMs come back. The order rotates each minute, so that a pool that cannot begin does
 * not hold up the others.
 */
function mayPoolBegin(plan: WavePlan): boolean {
  if (plan.fleetProgress === undefined) return true;
  const { pools } = plan.wave;
  const fleet = plan.fleetProgress.get(plan.wave.wave) ?? NO_PROGRESS;
  const rotatedIndex = pools.indexOf(plan.tables.pool) - (plan.minuteOfDay % pools.length);
  const position = (rotatedIndex + pools.length) % pools.length;
  return position <= fleet.maintainedVmCount && fleet.inProgressVmCount <= fleet.maintainedVmCount;
}

/** Takes VMs in order until the budget would be exceeded with the next one out in addition. */
function selectWithinBudget(
  plan: WavePlan,
  candidates: readonly PoolVmRow[],
): readonly PoolVmRow[] {
  const taken: PoolVmRow[] = [];
  candidates.every((vm) => {
    const wasAccepting = plan.budget.isAccepting(vm.vm);
    plan.budget.takeOut(vm.vm);
    const isWithin = plan.budget.verdict().type === 'within';
    if (isWithin) taken.push(vm);
    else if (wasAccepting) plan.budget.count(vm);
    return isWithin;
  });
  return taken;
}

/** Explains why the budget allows no step although VMs remain. */
function explainBudget(plan: WavePlan, candidate: PoolVmRow): string {
  const wasAccepting = plan.budget.isAccepting(candidate.vm);
  plan.budget.takeOut(candidate.vm);
  const verdict = plan.budget.verdict();
  if (wasAccepting) plan.budget.count(candidate);
  return verdict.type === 'exceeded' ? verdict.reason : 'the budget allows no further VM';
}

/** Steps of the wave finished over all pools; undefined if the progress there is not known. */
function countFinishedInFleet(plan: WavePlan): number | undefined {
  const fleet = plan.fleetProgress?.get(plan.wave.wave);
  return fleet && fleet.maintainedVmCount + fleet.failedVmCount;
}

/** Plans one running wave in one pool. */
function planWave(plan: WavePlan): readonly WaveDecision[] {
  const { wave } = plan.wave;
  const wait = (reason: string): readonly WaveDecision[] => [{ type: 'wait', wave, reason }];
  const failure = findWaveFailure({ ...plan, fleetFinishedCount: countFinishedInFleet(plan) });
  if (failure !== undefined) return [{ type: 'stop-wave', wave, reason: failure }];
  const remainingVms = listRemainingVms(plan);
  if (remainingVms.length === 0) return [];
  if (!isWithinWindow(plan.tables.settings.maintenance, plan.minuteOfDay)) {
    return wait('the maintenance window is closed');
  }
  const inProgressCount = plan.steps.filter((step) => step.state === 'intended').length;
  if (plan.steps.length === 0 && !mayPoolBegin(plan)) {
    return wait('other pools of the wave begin first');
  }
  const freeCount = getMaxStepsInProgress(plan.tables, plan.wave) - inProgressCount;
  if (freeCount <= 0) return wait(`${inProgressCount} steps are in progress`);
  const taken = selectWithinBudget(plan, remainingVms.slice(0, freeCount));
  if (taken.length === 0) return wait(explainBudget(plan, remainingVms[0]!));
  return taken.map((vm) => ({
    type: 'start-step',
    wave,
    vm: vm.vm,
    reason: `within the budget: ${plan.budget.unavailableVmCount} VMs unavailable, ${plan.budget.maxUnavailableVmCount} allowed`,
  }));
}

/** Records the failures of a paused wave as accepted, since whoever resumes it accepts them. */
function acceptFailures(plan: WavePlan): void {
  plan.tables.waveWatches.put({ wave: plan.wave.wave, forgivenVms: listSuspectVms(plan) });
}

/**
 * Decides which VMs of a pool the running waves maintain next. A step is allowed only if the pool
 * stays within its availability budget; unplanned losses count at once.
 * @param tables - State of the pool; its losses and watched waves are updated.
 * @param options - Time, minute of the day and the waves' progress in other pools.
 * @returns Steps to start, waves that wait and waves to stop, each with its reason.
 */
export function planWaveSteps(
  tables: PoolTables,
  options: PlanWaveStepsOptions,
): readonly WaveDecision[] {
  updateLosses(tables, options.nowMs);
  const waves = tables.waves.list();
  if (waves.length === 0) return [];
  const budget = new AvailabilityBudget({ tables, nowMs: options.nowMs });
  const allSteps = tables.waveSteps.list();
  return waves.flatMap((wave) => {
    const steps = allSteps.filter((step) => step.wave === wave.wave);
    const plan: WavePlan = { ...options, tables, wave, steps, budget };
    if (wave.state === 'running') return planWave(plan);
    acceptFailures(plan);
    return [];
  });
}
