import type { PoolTables, PoolVmRow, WaveRow } from '../tables/index.js';

/**
 * Lists the VMs of a pool that a wave has not yet maintained.
 * @param tables - State of the pool.
 * @param wave - The wave.
 * @returns The live VMs without a step in the wave.
 */
export function listUnmaintainedVms(tables: PoolTables, wave: WaveRow): readonly PoolVmRow[] {
  return tables.vms
    .list()
    .filter((vm) => vm.state === 'live' && !tables.waveSteps.has(`${wave.wave}/${vm.vm}`))
    .filter((vm) => vm.condition === 'accepting' || vm.condition === 'draining');
}
