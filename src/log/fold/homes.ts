import type { RecordBodyOf } from '../../records/index.js';
import type { FleetTables, RecordVerdict } from '../../tables/index.js';
import { ACCEPTED, reject } from './verdicts.js';

/** Who claims to act for which pool. */
export interface ActingHome {
  readonly pool: string;
  readonly instance: string;
  readonly term: number;
}

/**
 * Tells whether a pool is in the settings in force.
 * @param tables - The state.
 * @param pool - Pool as `team/pool`.
 * @returns Whether it is.
 */
export function isPoolInForce(tables: FleetTables, pool: string): boolean {
  const slash = pool.indexOf('/');
  const settings = tables.settings.get(pool.slice(0, slash))?.settings;
  return settings !== undefined && Object.hasOwn(settings.pools, pool.slice(slash + 1));
}

/**
 * Checks that a writer is the home of the pool that it decides for.
 *
 * An instance that was paused past its lease still believes that it holds the pool and appends
 * what it had decided before. Its successor's claim has raised the term by then, and both stand
 * on one log, so the late record is rejected by every instance alike.
 * @param tables - The state.
 * @param acting - Pool, instance and term that the record names.
 * @returns Why the writer may not decide, or undefined where it may.
 */
export function findHomeFault(tables: FleetTables, acting: ActingHome): string | undefined {
  const home = tables.homes.get(acting.pool);
  if (home === undefined) return `There is no pool ${acting.pool}.`;
  if (home.instance === acting.instance && home.term === acting.term) return undefined;
  const holder = home.instance ?? 'nobody';
  return `Pool ${acting.pool} is held by ${holder} in term ${home.term}, not by ${acting.instance} in term ${acting.term}.`;
}

/**
 * Removes the home of a pool that is in no settings, has no VM and no holder; its term is kept.
 *
 * If the pool is published again later, terms go on from there: a term given twice would let a
 * holder that was frozen all the while pass for the new one.
 * @param tables - The state.
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
 * Frees every home of an instance that has ended; the terms stay.
 * @param tables - The state.
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
 * Applies a claim of a pool's home.
 * @param tables - The state.
 * @param body - The record.
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
 * Applies the release of a pool's home.
 * @param tables - The state.
 * @param body - The record.
 * @returns The verdict.
 */
export function applyHomeReleased(
  tables: FleetTables,
  body: RecordBodyOf<'home-released'>,
): RecordVerdict {
  const fault = findHomeFault(tables, body);
  if (fault !== undefined) return reject(fault);
  tables.homes.put({ pool: body.pool, instance: undefined, term: body.term });
  retireAbandonedHome(tables, body.pool);
  return ACCEPTED;
}
