import type { PoolSettings, QuotaSettings } from '../settings/index.js';

/**
 * Finds the quota of a team on a pool.
 * @param settings - Settings of the pool.
 * @param team - The team.
 * @returns The team's own quota, else the default quota `*`, else undefined.
 */
export function getTeamQuota(settings: PoolSettings, team: string): QuotaSettings | undefined {
  return Object.hasOwn(settings.quotas, team) ? settings.quotas[team] : settings.quotas['*'];
}
