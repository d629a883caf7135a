import { RECORD_FORMAT_VERSION } from '../../records/index.js';
import type { FleetTables, FrozenRow, Table } from '../../tables/index.js';
import { type SerializedTables, serializedTablesSchema, TABLE_NAMES } from './SerializedTables.js';

/** What became of a state that was offered. */
export type RestoreResult =
  | { readonly type: 'restored' }
  /** It is not ahead of what is applied, and nothing has changed. */
  | { readonly type: 'behind' }
  | { readonly type: 'refused'; readonly reason: string };

/**
 * Checks that this program can go on from a state.
 * @param state - The state.
 * @returns Why it cannot, or undefined where it can.
 */
function findFault(state: SerializedTables): string | undefined {
  // An instance that cannot read a record leaves it out of its state. Another one that can read
  // it would go on from there without that record, and differ from the rest of the fleet.
  const skipped = (state.rows.frozen as readonly FrozenRow[]).find(
    (row) => row.formatVersion <= RECORD_FORMAT_VERSION,
  );
  if (skipped === undefined) return undefined;
  return `The state lacks the record at offset ${skipped.offset}, which its writer could not read.`;
}

/**
 * Replaces the tables by a state, from a snapshot or from a peer, in one step.
 *
 * A peer may be slower than this instance: a state that is not ahead is left alone, because going
 * back would revert accepted changes.
 * @param tables - The state to replace, in place.
 * @param offered - What {@link serializeTables} made, possibly by another program version.
 * @returns Whether the tables were replaced, and why not.
 */
export function restoreTables(tables: FleetTables, offered: unknown): RestoreResult {
  const parsed = serializedTablesSchema.safeParse(offered);
  if (!parsed.success) {
    const issue = parsed.error.issues[0]!;
    return { type: 'refused', reason: `${issue.path.join('.')}: ${issue.message}` };
  }
  const state = parsed.data;
  const reason = findFault(state);
  if (reason !== undefined) return { type: 'refused', reason };
  if (state.header.nextOffset <= tables.nextOffset) return { type: 'behind' };
  TABLE_NAMES.forEach((name) => {
    const table = tables[name] as unknown as Table<unknown, object>;
    table.clear();
    state.rows[name].forEach((row) => table.put(row));
  });
  const { claimsForgottenUpToMs, nextOffset } = state.header;
  Object.assign(tables, { claimsForgottenUpToMs, nextOffset });
  return { type: 'restored' };
}
