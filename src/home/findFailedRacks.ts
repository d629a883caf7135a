import { getFailureDomain } from '../systems/index.js';
import type { VmRow } from '../tables/index.js';

/**
 * Finds the racks that lost every VM at once.
 *
 * Failure: a rack fails during a wave that has maintained this pool's few VMs in it, and the pool
 * takes the loss for the work of the maintenance. The VMs of other pools tell the two apart.
 * @param vms - VMs of the whole fleet.
 * @returns The racks, as `data centre/rack`.
 */
export function findFailedRacks(vms: readonly VmRow[]): ReadonlySet<string> {
  const racks = new Set(vms.map((vm) => getFailureDomain(vm, 'rack')));
  vms
    .filter((vm) => vm.state !== 'gone')
    .forEach((vm) => racks.delete(getFailureDomain(vm, 'rack')));
  return racks;
}
