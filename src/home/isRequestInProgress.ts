import type { FleetTables, PoolTables } from '../tables/index.js';

/**
 * Checks whether a joined entry instance waits for a grant for a request, or holds one.
 * @param requestId - Id of the request.
 * @param tables - Queue and grants of the pool.
 * @param fleet - Tables with the instances.
 * @returns Whether the request is under way.
 */
export function isRequestInProgress(
  requestId: string,
  tables: PoolTables,
  fleet: FleetTables,
): boolean {
  return [...tables.queue.list(), ...tables.grants.list()]
    .filter((row) => row.requestId === requestId)
    .some((row) => fleet.instances.get(row.entry)?.state === 'joined');
}
