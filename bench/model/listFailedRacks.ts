import { groupBy } from '../../src/utils/index.js';
import type { Trace } from '../traces/index.js';

/** What is known of the VMs of a fleet. */
export interface FleetKnowledge {
  readonly lostVms: ReadonlySet<string>;
  /** The VMs that the wave has touched. */
  readonly steps: ReadonlyMap<string, unknown>;
}

/**
 * Lists the racks that lost all their VMs, or one that the wave has not touched.
 * @param vms - The VMs of the fleet.
 * @param known - What is known of them.
 * @returns The racks.
 */
export function listFailedRacks(
  vms: Trace['head']['vms'],
  { lostVms, steps }: FleetKnowledge,
): ReadonlySet<string> {
  const vmsByRack = groupBy(vms, ({ dataCentre, rack }) => `${dataCentre}/${rack}`);
  const failed = [...vmsByRack].filter(([, rackVms]) => {
    const lost = rackVms.filter(({ vm }) => lostVms.has(vm));
    return lost.length === rackVms.length || lost.some(({ vm }) => !steps.has(vm));
  });
  return new Set(failed.map(([rack]) => rack));
}
