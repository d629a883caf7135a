import type { LogEntry, LogPort } from '../../platform/index.js';
import { findStreamRange, MAX_READ_COUNT, readRange, type StreamRange } from './readStream.js';
import type { SerializedTables } from './SerializedTables.js';
import {
  SNAPSHOT_STREAM,
  type SnapshotEnd,
  snapshotEndSchema,
  snapshotPartSchema,
} from './SnapshotRecord.js';
import { hashParts, parseSnapshotText } from './snapshotText.js';

/** An end record of a snapshot and its offset on the stream. */
interface LocatedEnd {
  readonly end: SnapshotEnd;
  readonly offset: number;
}

/**
 * Reads the snapshot end record from an entry.
 * @param entry - The entry.
 * @returns A list with the end record; empty if the entry holds another record.
 */
function readEnd(entry: LogEntry): readonly LocatedEnd[] {
  const parsed = snapshotEndSchema.safeParse(entry.payload);
  return parsed.success ? [{ end: parsed.data, offset: entry.offset }] : [];
}

/**
 * Searches backwards from the end of the stream for a snapshot end record that can be used.
 * @param log - The log.
 * @param range - Offsets to search.
 * @param mapEnd - Maps an end record to a result, or returns undefined to continue the search.
 * @returns The first result, or undefined if there is none.
 */
async function searchEnds<Result>(
  log: LogPort,
  range: StreamRange,
  mapEnd: (located: LocatedEnd) => Promise<Result | undefined>,
): Promise<Result | undefined> {
  const { endOffset } = range;
  if (endOffset <= range.firstOffset) return undefined;
  const firstOffset = Math.max(range.firstOffset, endOffset - MAX_READ_COUNT);
  const entries = await readRange(log, SNAPSHOT_STREAM, { firstOffset, endOffset });
  if (entries === undefined) return undefined;
  const latestFirst = entries.flatMap(readEnd).reverse();
  const found = await latestFirst.reduce<Promise<Result | undefined>>(
    async (former, placed) => (await former) ?? mapEnd(placed),
    Promise.resolve(undefined),
  );
  return (
    found ?? searchEnds(log, { firstOffset: range.firstOffset, endOffset: firstOffset }, mapEnd)
  );
}

/**
 * Loads the snapshot that an end record completes.
 *
 * The writer may have died or repeated an append, and other writers may have appended records in
 * between. The snapshot is valid only if all parts are present and the checksum matches.
 * @param log - The log.
 * @param located - The end record and its offset.
 * @returns The state, or undefined if the snapshot is incomplete or has a newer format.
 */
async function loadSnapshot(
  log: LogPort,
  located: LocatedEnd,
): Promise<SerializedTables | undefined> {
  const { firstPartOffset, partCount, sha256, snapshotId } = located.end;
  const range = { firstOffset: firstPartOffset, endOffset: located.offset };
  const entries = await readRange(log, SNAPSHOT_STREAM, range);
  if (entries === undefined) return undefined;
  const textByIndex = new Map(
    entries
      .map((entry) => snapshotPartSchema.safeParse(entry.payload).data)
      .filter((part) => part !== undefined)
      .filter((part) => part.snapshotId === snapshotId)
      .map((part) => [part.index, part.text]),
  );
  if (textByIndex.size !== partCount) return undefined;
  const texts = Array.from({ length: partCount }, (_none, index) => textByIndex.get(index) ?? '');
  return hashParts(texts) === sha256 ? parseSnapshotText(texts) : undefined;
}

/**
 * Finds the end record of the latest snapshot, without checking that its parts are complete.
 * @param log - The log.
 * @returns The end record, or undefined if there is none.
 * @throws RattanliftError Of kind `log-unavailable`.
 */
export async function findLatestSnapshotEnd(log: LogPort): Promise<SnapshotEnd | undefined> {
  const range = await findStreamRange(log, SNAPSHOT_STREAM);
  return searchEnds(log, range, async (placed) => placed.end);
}

/**
 * Loads the latest complete snapshot that this program can read.
 * @param log - The log.
 * @returns The state, or undefined if there is none.
 * @throws RattanliftError Of kind `log-unavailable`.
 */
export async function loadLatestSnapshot(log: LogPort): Promise<SerializedTables | undefined> {
  const range = await findStreamRange(log, SNAPSHOT_STREAM);
  return searchEnds(log, range, (placed) => loadSnapshot(log, placed));
}
