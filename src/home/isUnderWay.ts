import type { FleetTables, PoolTables } from '../tables/index.js';

/**
 * Tells whether an entry instance that runs waits with a request, or has a grant for it.
 * @param requestId - Id of the request.
 * @param tables - Queue and grants of the pool.
 * @param fleet - The instances.
 * @returns Whether the request is under way.
 */
export function isUnderWay(requestId: string, tables: PoolTables, fleet: FleetTables): boolean {
  return [...tables.queue.list(), ...tables.grants.list()]
    .filter((row) => row.requestId === requestId)
    .some((row) => fleet.instances.get(row.entry)?.state === 'joined');
}
