import type { PoolTables, PoolVmRow, WaveRow, WaveStepRow } from '../tables/index.js';
import { getFailureDomain } from './getFailureDomain.js';

/** How long a maintained VM has to be lost before it counts as a suspect, in milliseconds. */
const LOSS_CONFIRMATION_MS = 15_000;
/** Finished steps up to which a single failure stops the wave. */
const EARLY_STEP_COUNT = 3;
/** Fewest failures that stop the wave after that. */
const MIN_FAILURE_COUNT = 2;
/** Share of the finished steps at which failures are attributed to the wave. */
const MAX_FAILURE_FRACTION = 0.1;

/** Options of {@link findWaveFailure}. */
export interface FindWaveFailureOptions {
  readonly tables: PoolTables;
  readonly wave: WaveRow;
  /** Steps of the wave in this pool. */
  readonly steps: readonly WaveStepRow[];
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** Steps of the wave finished over all pools; defaults to the steps finished in this pool. */
  readonly fleetFinishedCount?: number;
  /** Racks known to have failed, as `data centre/rack`. */
  readonly failedRacks?: ReadonlySet<string>;
}

/** Whether a loss has lasted. The platform's list lags, and single copies may lack a VM. */
function isConfirmedLoss(tables: PoolTables, vm: string, nowMs: number): boolean {
  const sinceMs = tables.losses.get(vm)?.sinceMs;
  return sinceMs !== undefined && nowMs - sinceMs >= LOSS_CONFIRMATION_MS;
}

/** Racks that lost a VM without a step in the wave, which points to the rack as the cause. */
function listRacksWithOtherLosses(
  tables: PoolTables,
  touchedVms: ReadonlySet<string>,
): ReadonlySet<string> {
  const untouchedLostVms = tables.losses
    .list()
    .filter((loss) => !touchedVms.has(loss.vm))
    .map((loss) => tables.vms.get(loss.vm))
    .filter((vm): vm is PoolVmRow => vm !== undefined);
  return new Set(untouchedLostVms.map((vm) => getFailureDomain(vm, 'rack')));
}

/** VMs that were lost after their maintenance, except those in racks that failed. */
function listVmsLostAfterMaintenance(options: FindWaveFailureOptions): readonly string[] {
  const { tables, steps, nowMs } = options;
  const racksWithOtherLosses = listRacksWithOtherLosses(
    tables,
    new Set(steps.map((step) => step.vm)),
  );
  const hasRackFailed = (rack: string): boolean =>
    racksWithOtherLosses.has(rack) || options.failedRacks?.has(rack) === true;
  return steps
    .filter((step) => step.state === 'maintained' && isConfirmedLoss(tables, step.vm, nowMs))
    .map((step) => tables.vms.get(step.vm))
    .filter((vm): vm is PoolVmRow => vm !== undefined)
    .filter((vm) => !hasRackFailed(getFailureDomain(vm, 'rack')))
    .map((vm) => vm.vm);
}

/**
 * Lists the VMs whose failure the wave may have caused.
 * @param options - State of the pool, the wave and its steps.
 * @returns VMs whose step failed, or that were lost after it.
 */
export function listSuspectVms(options: FindWaveFailureOptions): readonly string[] {
  const failedVms = options.steps.filter((step) => step.state === 'failed').map((step) => step.vm);
  return [...failedVms, ...listVmsLostAfterMaintenance(options)];
}

/**
 * Decides whether failures have to stop a wave. Maintenance can install something that breaks
 * every VM; this shows as failed steps, or as VMs that come back and are lost minutes later. One
 * failure among the first few VMs stops the wave, so that a fault breaks few of them. Unrelated
 * failures happen all the time, so later on a share of the finished steps has to fail.
 * @param options - State of the pool, the wave and its steps.
 * @returns Why the wave has to stop, or undefined if it may go on.
 */
export function findWaveFailure(options: FindWaveFailureOptions): string | undefined {
  const forgivenVms = options.tables.waveWatches.get(options.wave.wave)?.forgivenVms ?? [];
  const suspectVms = listSuspectVms(options).filter((vm) => !forgivenVms.includes(vm));
  const finishedCount = options.steps.filter((step) => step.state !== 'intended').length;
  const stopThreshold =
    (options.fleetFinishedCount ?? finishedCount) <= EARLY_STEP_COUNT
      ? 1
      : Math.max(MIN_FAILURE_COUNT, Math.ceil(finishedCount * MAX_FAILURE_FRACTION));
  if (suspectVms.length < stopThreshold) return undefined;
  return `${suspectVms.length} of ${finishedCount} VMs failed during or after their maintenance: ${suspectVms.join(', ')}`;
}
