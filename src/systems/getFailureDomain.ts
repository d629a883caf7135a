import type { FailureDomain } from '../settings/index.js';
import type { VmRow } from '../tables/index.js';
import { assertNever } from '../utils/index.js';

/**
 * Names the failure domain that a VM belongs to.
 * @param vm - The VM.
 * @param failureDomain - Kind of domain that the pool declares.
 * @returns A name that all VMs of the same domain share.
 */
export function getFailureDomain(vm: VmRow, failureDomain: FailureDomain): string {
  switch (failureDomain) {
    case 'vm':
      return vm.vm;
    case 'worker':
      return vm.worker;
    case 'rack':
      return `${vm.dataCentre}/${vm.rack}`;
    case 'data-centre':
      return vm.dataCentre;
    default:
      return assertNever(failureDomain);
  }
}
