import type { TargetLoad } from '../systems/index.js';
import type { FleetVm } from '../vms/index.js';

/**
 * Tells whether nothing runs on a VM, so that it can be maintained or moved.
 * @param vm - The VM as listed.
 * @param loads - Load of each target, by its id.
 * @returns Whether the VM has no target or its target is known to run nothing.
 */
export function isEmpty({ targetId }: FleetVm, loads: ReadonlyMap<string, TargetLoad>): boolean {
  return targetId === undefined || loads.get(targetId)?.runCount === 0;
}
