import type { VmView } from '../../operators/index.js';
import { formatTable } from '../formatTable.js';

/**
 * Lays VMs out for people.
 * @param rows - The VMs.
 * @returns A table.
 */
export function formatVms(rows: readonly VmView[]): string {
  return formatTable(
    [
      { title: 'VM', valueOf: (row) => row.vm },
      { title: 'POOL', valueOf: (row) => row.pool ?? '-' },
      { title: 'STATE', valueOf: (row) => row.state },
      { title: 'DRAINED BY', valueOf: (row) => row.drainedBy ?? '-' },
      { title: 'SLOTS', valueOf: (row) => row.slotCount },
      { title: 'WORKER', valueOf: (row) => row.worker },
      { title: 'RACK', valueOf: (row) => row.rack },
      { title: 'DATA CENTRE', valueOf: (row) => row.dataCentre },
    ],
    rows,
  );
}
