import type { FleetTables } from '../../tables/index.js';
import {
  type SerializedTables,
  STATE_FORMAT_VERSION,
  TABLE_NAMES,
  type TableName,
} from './SerializedTables.js';

/**
 * Copies the current state; later changes to the tables do not affect the copy.
 * @param tables - Tables of the replicated state.
 * @returns The state as JSON values.
 */
export function serializeTables(tables: FleetTables): SerializedTables {
  const { claimsForgottenUpToMs, nextOffset } = tables;
  const rows = Object.fromEntries(
    TABLE_NAMES.map((name): [TableName, readonly object[]] => [name, tables[name].list()]),
  ) as SerializedTables['rows'];
  return {
    header: { formatVersion: STATE_FORMAT_VERSION, nextOffset, claimsForgottenUpToMs },
    rows,
  };
}
