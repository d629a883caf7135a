import type { PoolSettings } from '../settings/index.js';
import type { FleetTables } from '../tables/index.js';

/**
 * Gets the settings in force for a pool.
 * @param fleet - State by the log.
 * @param pool - Pool as `team/pool`.
 * @returns The settings, or undefined where no team declares the pool.
 */
export function getPoolSettings(fleet: FleetTables, pool: string): PoolSettings | undefined {
  const separatorIndex = pool.indexOf('/');
  const pools = fleet.settings.get(pool.slice(0, separatorIndex))?.settings.pools;
  const name = pool.slice(separatorIndex + 1);
  return pools !== undefined && Object.hasOwn(pools, name) ? pools[name] : undefined;
}
