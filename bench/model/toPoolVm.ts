import type { PoolVmRow } from '../../src/tables/index.js';
import type { TraceVm } from '../traces/index.js';

/**
 * Makes the row of a VM that a trace describes.
 * @param vm - The VM in the trace.
 * @returns A live, accepting VM on its first boot.
 */
export function toPoolVm(vm: TraceVm): PoolVmRow {
  const { pool, ...machine } = vm;
  return {
    ...machine,
    host: '127.0.0.1',
    port: 1,
    acceleratorCount: 0,
    state: 'live',
    bootId: 'boot-1',
    condition: 'accepting',
  };
}
