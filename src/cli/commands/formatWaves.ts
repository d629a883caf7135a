import type { WaveView } from '../../operators/index.js';
import { formatTable } from '../formatTable.js';

/**
 * Lays waves out for people.
 * @param rows - The waves.
 * @returns A table.
 */
export function formatWaves(rows: readonly WaveView[]): string {
  return formatTable(
    [
      { title: 'WAVE', valueOf: (row) => row.wave },
      { title: 'STATE', valueOf: (row) => row.state },
      { title: 'VMS', valueOf: (row) => row.vmCount },
      { title: 'MAINTAINED', valueOf: (row) => row.maintainedVmCount },
      { title: 'FAILED', valueOf: (row) => row.failedVmCount },
      { title: 'IN PROGRESS', valueOf: (row) => row.stepsInProgress.join(' ') || '-' },
      { title: 'POOLS', valueOf: (row) => row.pools.join(' ') },
      { title: 'REASON', valueOf: (row) => row.reason },
    ],
    rows,
  );
}
