import { createHash } from 'node:crypto';
import { setImmediate as nextTurn } from 'node:timers/promises';
import {
  type SerializedTables,
  stateHeaderSchema,
  TABLE_NAMES,
  type TableName,
} from './SerializedTables.js';

/** A character takes at most three bytes, including escapes, so a part stays below 64 KiB. */
const PART_CHARACTER_COUNT = 16_000;
const ROWS_PER_SLICE = 1_000;
const LINE_BREAK = '\n';

/**
 * Computes the hash of a snapshot's text.
 * @param texts - The text in parts.
 * @returns SHA-256 in hexadecimal.
 */
export function hashParts(texts: readonly string[]): string {
  const hash = createHash('sha256');
  texts.forEach((text) => hash.update(text));
  return hash.digest('hex');
}

/**
 * Splits a list into slices.
 * @param items - The list.
 * @param count - Maximum number of items in a slice.
 * @returns The slices in order.
 */
function sliceBy<Item>(items: readonly Item[], count: number): readonly (readonly Item[])[] {
  const sliceCount = Math.ceil(items.length / count);
  return Array.from({ length: sliceCount }, (_none, index) =>
    items.slice(index * count, (index + 1) * count),
  );
}

/**
 * Maps a long list in slices and yields to the event loop after each slice, so that requests in
 * progress do not wait for the whole list.
 * @param items - The list.
 * @param mapSlice - Maps one slice.
 * @returns The result of each slice, in order.
 */
async function mapInSlices<Item, Result>(
  items: readonly Item[],
  mapSlice: (slice: readonly Item[]) => Result,
): Promise<readonly Result[]> {
  return sliceBy(items, ROWS_PER_SLICE).reduce<Promise<Result[]>>(async (former, slice) => {
    const results = await former;
    results.push(mapSlice(slice));
    await nextTurn();
    return results;
  }, Promise.resolve([]));
}

/**
 * Formats a state as text: a header line, followed by one line for each row.
 * @param state - The state.
 * @returns The text in parts.
 */
export async function formatSnapshotText(state: SerializedTables): Promise<readonly string[]> {
  const lines = TABLE_NAMES.flatMap((name) => state.rows[name].map((row) => [name, row] as const));
  const texts = await mapInSlices(lines, (slice) =>
    slice.map((line) => JSON.stringify(line)).join(LINE_BREAK),
  );
  const text = [JSON.stringify(state.header), ...texts].join(LINE_BREAK);
  const partCount = Math.ceil(text.length / PART_CHARACTER_COUNT);
  return Array.from({ length: partCount }, (_none, index) =>
    text.slice(index * PART_CHARACTER_COUNT, (index + 1) * PART_CHARACTER_COUNT),
  );
}

/**
 * Parses a state from its text.
 * @param texts - All parts of the text, in order.
 * @returns The state, or undefined if a newer program wrote it in another format.
 */
export async function parseSnapshotText(
  texts: readonly string[],
): Promise<SerializedTables | undefined> {
  const [headerLine, ...lines] = texts.join('').split(LINE_BREAK);
  const header = stateHeaderSchema.safeParse(JSON.parse(headerLine!));
  if (!header.success) return undefined;
  const rows = Object.fromEntries(
    TABLE_NAMES.map((name): [TableName, object[]] => [name, []]),
  ) as Record<TableName, object[]>;
  await mapInSlices(lines, (slice) =>
    slice.forEach((line) => {
      const [name, row] = JSON.parse(line) as [TableName, object];
      rows[name].push(row);
    }),
  );
  return { header: header.data, rows };
}
