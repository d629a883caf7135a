import type { PoolSettings } from '../settings/index.js';
import type { VmRow } from '../tables/index.js';

/**
 * Tells whether a VM is of any use to a pool.
 * @param settings - Settings of the pool with its kinds of job.
 * @param vm - The VM.
 * @returns Whether at least one declared kind fits on the empty VM.
 */
export function canCarryAnyKind(settings: PoolSettings, vm: VmRow): boolean {
  const kinds = Object.values(settings.jobKinds);
  if (vm.slotCount === 0) return false;
  if (kinds.length === 0) return true;
  return kinds.some((kind) => kind.memoryMb <= vm.memoryMb && kind.coreCount <= vm.coreCount);
}
