import { getFailureDomain } from '../systems/index.js';
import type { VmRow } from '../tables/index.js';

/**
 * Finds the racks whose VMs are all gone.
 *
 * If a rack fails during a wave that has maintained this pool's few VMs in it, the loss looks like
 * a result of the maintenance. The VMs of other pools in the rack distinguish the two cases.
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
