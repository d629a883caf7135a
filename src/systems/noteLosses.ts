import type { PoolTables } from '../tables/index.js';
import { isLost } from './vmStates.js';

/**
 * Keeps the time since which each lost VM of a pool has been lost.
 * @param tables - State of the pool; its losses are brought up to date.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function noteLosses(tables: PoolTables, nowMs: number): void {
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
