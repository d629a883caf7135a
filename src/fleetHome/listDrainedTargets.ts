import type { FleetVm } from '../vms/index.js';

/**
 * Lists the targets on the drained VMs of a pool.
 * @param vms - The VMs as listed.
 * @param pool - Name of the pool.
 * @param drained - Names of the drained VMs, of any pool.
 * @returns Ids of the targets.
 */
export function listDrainedTargets(
  vms: readonly FleetVm[],
  pool: string,
  drained: ReadonlySet<string>,
): readonly string[] {
  return vms
    .filter((vm) => vm.pool === pool && drained.has(vm.vm))
    .map(({ targetId }) => targetId)
    .filter((targetId) => targetId !== undefined);
}
