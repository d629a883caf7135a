import type { PoolTables, PoolVmRow } from '../tables/index.js';

/**
 * Tells whether a VM is in quarantine.
 * @param tables - State of the VM's pool.
 * @param vm - Name of the VM.
 * @param nowMs - Monotonic time, in milliseconds.
 * @returns Whether the VM gets no work because of earlier failures on it.
 */
export function isQuarantined(tables: PoolTables, vm: string, nowMs: number): boolean {
  const untilMs = tables.health.get(vm)?.quarantinedUntilMs;
  return untilMs !== undefined && nowMs < untilMs;
}

/**
 * Tells whether a VM is lost.
 * @param vm - The VM.
 * @returns Whether it is unreachable, absent or gone; an ordered drain is not a loss.
 */
export function isLost(vm: PoolVmRow): boolean {
  return vm.condition === 'unreachable' || vm.condition === 'absent' || vm.state === 'gone';
}

/**
 * Lists the VMs with a wave step in progress.
 * @param tables - State of the pool.
 * @returns Their names.
 */
export function listSteppedVms(tables: PoolTables): ReadonlySet<string> {
  const inProgress = tables.waveSteps.list().filter((step) => step.state === 'intended');
  return new Set(inProgress.map((step) => step.vm));
}
