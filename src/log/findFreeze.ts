import type { RecordBody } from '../records/index.js';
import type { FleetTables } from '../tables/index.js';
import { assertNever } from '../utils/index.js';

const EVERY_SUBTREE = '*';

/**
 * Lists the subtrees that a record decides on.
 * @param body - Body of the record.
 * @returns Teams, or everything; empty for a record that decides nothing, but gives something up
 * or reports what has happened, which is true whatever else stands on the log.
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
 * Finds out whether a record decides on a subtree that this program cannot read in full.
 * @param tables - Tables of the replicated state.
 * @param body - Body of the record.
 * @returns Why it must not be written, or undefined where it may.
 */
export function findFreeze(tables: FleetTables, body: RecordBody): string | undefined {
  const subtree = listSubtrees(body).find((name) => tables.isFrozen(name));
  if (subtree === undefined) return undefined;
  const row = tables.frozen.get(subtree) ?? tables.frozen.getOrThrow(EVERY_SUBTREE);
  return `The record at offset ${row.offset} is of format ${row.formatVersion}, newer than this program.`;
}
