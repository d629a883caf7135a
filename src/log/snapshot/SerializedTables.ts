import { z } from 'zod';
import type { FleetTables } from '../../tables/index.js';

/** Format version of the states that this program writes. */
export const STATE_FORMAT_VERSION = 1;

/** Tables of the state, all of which a snapshot holds. */
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

/** Schema of the header of a state. */
export const stateHeaderSchema = z
  .object({
    formatVersion: z.literal(STATE_FORMAT_VERSION),
    nextOffset: z.int().nonnegative(),
    claimsForgottenUpToMs: z.number(),
  })
  .readonly();

/** Schema of a state as it travels. */
export const serializedTablesSchema = z
  .object({
    header: stateHeaderSchema,
    rows: z.record(z.enum(TABLE_NAMES), rowsSchema).readonly(),
  })
  .readonly();

/** Header of a state. */
export type StateHeader = z.output<typeof stateHeaderSchema>;

/** The fold's state as JSON values. */
export interface SerializedTables {
  readonly header: StateHeader;
  /** Rows of each table in the order of their first insertion. */
  readonly rows: Readonly<Record<TableName, readonly object[]>>;
}
