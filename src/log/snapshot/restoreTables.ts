import { RECORD_FORMAT_VERSION } from '../../records/index.js';
import type { FleetTables, FrozenRow, Table } from '../../tables/index.js';
import { type SerializedTables, serializedTablesSchema, TABLE_NAMES } from './SerializedTables.js';

/** Result of restoring a state. */
export type RestoreResult =
  | { readonly type: 'restored' }
  /** The state is not ahead of the applied records; the tables are unchanged. */
  | { readonly type: 'behind' }
  | { readonly type: 'refused'; readonly reason: string };

/**
 * Checks that this program can continue from a state.
 * @param state - The state.
 * @returns Why it cannot, or undefined if it can.
 */
function findIncompatibility(state: SerializedTables): string | undefined {
  // An instance that cannot read a record omits it from its state. If an instance that can read
  // the record continued from that state, it would lack the record and diverge from the fleet.
  const skipped = (state.rows.frozen as readonly FrozenRow[]).find(
    (row) => row.formatVersion <= RECORD_FORMAT_VERSION,
  );
  if (skipped === undefined) return undefined;
  return `The state lacks the record at offset ${skipped.offset}, which its writer could not read.`;
}

/**
 * Replaces the contents of the tables with a state from a snapshot or a peer, in one step.
 *
 * A peer may be behind this instance. A state that is not ahead is ignored, because going back
 * would revert accepted changes.
 * @param tables - The tables, modified in place.
 * @param input - Result of {@link serializeTables}, possibly of another program version.
 * @returns Whether the tables were replaced, and if not, why.
 */
export function restoreTables(tables: FleetTables, input: unknown): RestoreResult {
  const parsed = serializedTablesSchema.safeParse(input);
  if (!parsed.success) {
    const issue = parsed.error.issues[0]!;
    return { type: 'refused', reason: `${issue.path.join('.')}: ${issue.message}` };
  }
  const state = parsed.data;
  const reason = findIncompatibility(state);
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
