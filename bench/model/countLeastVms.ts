/**
 * Counts the fewest VMs of which enough are left when the rack with the most of them is lost.
 * @param neededVmCount - VMs that have to be left.
 * @param rackCount - Racks over which the VMs are spread evenly.
 * @returns The number of VMs.
 */
export function countLeastVms(neededVmCount: number, rackCount: number): number {
  let vmCount = neededVmCount;
  while (vmCount - Math.ceil(vmCount / rackCount) < neededVmCount) vmCount += 1;
  return vmCount;
}
