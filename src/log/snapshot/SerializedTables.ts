import { z } from 'zod';
import type { FleetTables } from '../../tables/index.js';

/** Format version of the serialized states that this program writes. */
export const STATE_FORMAT_VERSION = 1;

/** Names of the tables of the state; a snapshot contains all of them. */
export const TABLE_NAMES = [
  'settings',
  'publications',
  'instances',
  'homes',
  'assignments',
  'drains',
  'waves',
  'waveSteps',
  'claims',
  'verdicts',
  'frozen',
  'retiredHomes',
  'writerClocks',
] as const satisfies readonly (keyof FleetTables)[];

/** Name of a table of the state. */
export type TableName = (typeof TABLE_NAMES)[number];

const rowsSchema = z.array(z.looseObject({})).readonly();

/** Schema of the header of a serialized state. */
export const stateHeaderSchema = z
  .object({
    formatVersion: z.literal(STATE_FORMAT_VERSION),
    nextOffset: z.int().nonnegative(),
    claimsForgottenUpToMs: z.number(),
  })
  .readonly();

/** Schema of a serialized state, as snapshots and peers transfer it. */
export const serializedTablesSchema = z
  .object({
    header: stateHeaderSchema,
    rows: z.record(z.enum(TABLE_NAMES), rowsSchema).readonly(),
  })
  .readonly();

/** Header of a serialized state. */
export type StateHeader = z.output<typeof stateHeaderSchema>;

/** The replicated state as JSON values. */
export interface SerializedTables {
  readonly header: StateHeader;
  /** Rows of each table in the order of their first insertion. */
  readonly rows: Readonly<Record<TableName, readonly object[]>>;
}
