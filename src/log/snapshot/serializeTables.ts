import type { FleetTables } from '../../tables/index.js';
import {
  type SerializedTables,
  STATE_FORMAT_VERSION,
  TABLE_NAMES,
  type TableName,
} from './SerializedTables.js';

/**
 * Takes the state as it is now; later changes of the tables do not show in it.
 * @param tables - The state.
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
