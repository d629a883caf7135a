import type { PoolTables } from '../tables/index.js';

/**
 * Computes how many VMs of a pool a wave may take out at once. The roll-out weight of the settings
 * trades a short roll-out against a small buffer.
 * @param tables - State of the pool.
 * @returns One VM at weight 0, all that the declared fraction allows at weight 1.
 */
export function getWaveConcurrency(tables: PoolTables): number {
  const { availability, maintenance } = tables.settings;
  const allowedCount = Math.floor(availability.maxUnavailableFraction * tables.vms.size);
  return Math.max(1, Math.round(maintenance.rollOutWeight * allowedCount));
}
