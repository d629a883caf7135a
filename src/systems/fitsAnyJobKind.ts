import type { PoolSettings } from '../settings/index.js';
import type { VmRow } from '../tables/index.js';

/**
 * Tells whether a VM can run any of a pool's kinds of job.
 * @param settings - Settings of the pool with its kinds of job.
 * @param vm - The VM.
 * @returns Whether the VM has slots and, if kinds are declared, at least one fits on it empty.
 */
export function fitsAnyJobKind(settings: PoolSettings, vm: VmRow): boolean {
  const kinds = Object.values(settings.jobKinds);
  if (vm.slotCount === 0) return false;
  if (kinds.length === 0) return true;
  return kinds.some((kind) => kind.memoryMb <= vm.memoryMb && kind.coreCount <= vm.coreCount);
}
