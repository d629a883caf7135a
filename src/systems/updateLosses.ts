import type { PoolTables } from '../tables/index.js';
import { isLost } from './vmStates.js';

/**
 * Updates the table that stores since when each lost VM of a pool has been lost.
 * @param tables - State of the pool, whose losses are updated.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function updateLosses(tables: PoolTables, nowMs: number): void {
  tables.losses
    .list()
    .map((loss) => loss.vm)
    .filter((name) => {
      const vm = tables.vms.get(name);
      return vm === undefined || !isLost(vm);
    })
    .forEach((name) => tables.losses.remove(name));
  tables.vms
    .list()
    .filter((vm) => isLost(vm) && !tables.losses.has(vm.vm))
    .forEach((vm) => tables.losses.put({ vm: vm.vm, sinceMs: nowMs }));
}
