import type { RecordBodyOf } from '../../records/index.js';
import type { FleetTables, RecordVerdict } from '../../tables/index.js';
import { ACCEPTED, reject } from './verdicts.js';

/** Pool, instance and term in which a writer acts as the pool's home. */
export interface ActingHome {
  readonly pool: string;
  readonly instance: string;
  readonly term: number;
}

/**
 * Checks whether the team settings in force define a pool.
 * @param tables - Tables of the replicated state.
 * @param pool - Pool as `team/pool`.
 * @returns Whether they define it.
 */
export function isPoolInForce(tables: FleetTables, pool: string): boolean {
  const slash = pool.indexOf('/');
  const settings = tables.settings.get(pool.slice(0, slash))?.settings;
  return settings !== undefined && Object.hasOwn(settings.pools, pool.slice(slash + 1));
}

/**
 * Checks that the writer of a record is the current home of the pool.
 *
 * An instance that was paused past its lease still acts as the home and appends records that it
 * decided before the pause. By then the claim of its successor has increased the term. Both
 * records are on the same log, so every instance rejects the late one.
 * @param tables - Tables of the replicated state.
 * @param acting - Pool, instance and term in the record.
 * @returns Why the writer is not the home, or undefined if it is.
 */
export function findHomeMismatch(tables: FleetTables, acting: ActingHome): string | undefined {
  const home = tables.homes.get(acting.pool);
  if (home === undefined) return `There is no pool ${acting.pool}.`;
  if (home.instance === acting.instance && home.term === acting.term) return undefined;
  const holder = home.instance ?? 'nobody';
  return `Pool ${acting.pool} is held by ${holder} in term ${home.term}, not by ${acting.instance} in term ${acting.term}.`;
}

/**
 * Removes the home of a pool that no settings define and that has neither VMs nor a holder. The
 * term is kept.
 *
 * If the pool is published again, its terms continue from the kept one. If a term were reused, an
 * earlier holder whose process was frozen in the meantime would be accepted as the new holder.
 * @param tables - Tables of the replicated state.
 * @param pool - Pool as `team/pool`.
 */
export function retireAbandonedHome(tables: FleetTables, pool: string): void {
  const home = tables.homes.get(pool);
  if (home === undefined || home.instance !== undefined) return;
  if (isPoolInForce(tables, pool)) return;
  if (tables.assignments.list().some((row) => row.pool === pool)) return;
  tables.homes.remove(pool);
  tables.retiredHomes.put({ pool, term: home.term });
}

/**
 * Frees all homes of an instance that has left or lapsed; their terms are kept.
 * @param tables - Tables of the replicated state.
 * @param instance - The instance.
 */
export function freeHomes(tables: FleetTables, instance: string): void {
  tables.homes
    .list()
    .filter((home) => home.instance === instance)
    .forEach((home) => {
      tables.homes.put({ ...home, instance: undefined });
      retireAbandonedHome(tables, home.pool);
    });
}

/**
 * Applies an instance's claim to become the home of a pool.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @returns The verdict.
 */
export function applyHomeClaimed(
  tables: FleetTables,
  body: RecordBodyOf<'home-claimed'>,
): RecordVerdict {
  const { pool, instance, expectedTerm } = body;
  if (tables.instances.get(instance)?.state !== 'joined') {
    return reject(`Instance ${instance} is not joined.`);
  }
  const home = tables.homes.get(pool);
  if (home === undefined) return reject(`There is no pool ${pool}.`);
  if (home.instance !== undefined) {
    return reject(`Pool ${pool} is held by ${home.instance} in term ${home.term}.`);
  }
  if (home.term !== expectedTerm) {
    return reject(`Pool ${pool} is in term ${home.term}, not in term ${expectedTerm}.`);
  }
  tables.homes.put({ pool, instance, term: home.term + 1 });
  return ACCEPTED;
}

/**
 * Applies the release of a pool by its home.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @returns The verdict.
 */
export function applyHomeReleased(
  tables: FleetTables,
  body: RecordBodyOf<'home-released'>,
): RecordVerdict {
  const fault = findHomeMismatch(tables, body);
  if (fault !== undefined) return reject(fault);
  tables.homes.put({ pool: body.pool, instance: undefined, term: body.term });
  retireAbandonedHome(tables, body.pool);
  return ACCEPTED;
}
