import type { RecordBody } from '../records/index.js';
import type { FleetTables } from '../tables/index.js';
import { assertNever } from '../utils/index.js';

const EVERY_SUBTREE = '*';

/**
 * Lists the subtrees that a record makes decisions on.
 * @param body - Body of the record.
 * @returns The teams, or `*` for all of them. Empty for a record that decides nothing, but gives
 * something up or reports what has happened, which is true whatever other records are on the log.
 */
function listSubtrees(body: RecordBody): readonly string[] {
  const teamOf = (pool: string): string => pool.slice(0, pool.indexOf('/'));
  switch (body.type) {
    case 'settings-published':
      return [body.team];
    case 'home-claimed':
    case 'vm-adopted':
    case 'vm-released':
    case 'step-intended':
    case 'requests-claimed':
      return [teamOf(body.pool)];
    case 'wave-started':
      return body.pools.map(teamOf);
    case 'instance-lapsed':
    case 'wave-resumed':
    case 'vm-drain-cancelled':
      return [EVERY_SUBTREE];
    case 'instance-joined':
    case 'instance-renewed':
    case 'instance-left':
    case 'home-released':
    case 'vm-drain-ordered':
    case 'wave-paused':
    case 'step-finished':
    case 'requests-settled':
      return [];
    default:
      return assertNever(body);
  }
}

/**
 * Checks whether a record makes decisions on a subtree with records that this program cannot read.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @returns Why the record must not be written, or undefined if it may be written.
 */
export function findFreezeReason(tables: FleetTables, body: RecordBody): string | undefined {
  const subtree = listSubtrees(body).find((name) => tables.isFrozen(name));
  if (subtree === undefined) return undefined;
  const row = tables.frozen.get(subtree) ?? tables.frozen.getOrThrow(EVERY_SUBTREE);
  return `The record at offset ${row.offset} is of format ${row.formatVersion}, newer than this program.`;
}
