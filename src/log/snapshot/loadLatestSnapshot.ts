import type { LogEntry, LogPort } from '../../platform/index.js';
import { findStreamRange, READ_COUNT, readRange, type StreamRange } from './readStream.js';
import type { SerializedTables } from './SerializedTables.js';
import {
  SNAPSHOT_STREAM,
  type SnapshotEnd,
  snapshotEndSchema,
  snapshotPartSchema,
} from './SnapshotRecord.js';
import { hashParts, readSnapshotText } from './snapshotText.js';

/** A closing record with its place on the stream. */
interface PlacedEnd {
  readonly end: SnapshotEnd;
  readonly offset: number;
}

/**
 * Reads the closing record that an entry holds.
 * @param entry - The entry.
 * @returns The closing record, or nothing.
 */
function readEnd(entry: LogEntry): readonly PlacedEnd[] {
  const parsed = snapshotEndSchema.safeParse(entry.payload);
  return parsed.success ? [{ end: parsed.data, offset: entry.offset }] : [];
}

/**
 * Looks for closing records from the end of the stream backwards, until one is of use.
 * @param log - The log.
 * @param range - Offsets to search.
 * @param tryEnd - Makes use of a closing record, or returns undefined to search on.
 * @returns What the first closing record of use gave, or undefined where there is none.
 */
async function searchEnds<Result>(
  log: LogPort,
  range: StreamRange,
  tryEnd: (placed: PlacedEnd) => Promise<Result | undefined>,
): Promise<Result | undefined> {
  const { endOffset } = range;
  if (endOffset <= range.firstOffset) return undefined;
  const firstOffset = Math.max(range.firstOffset, endOffset - READ_COUNT);
  const entries = await readRange(log, SNAPSHOT_STREAM, { firstOffset, endOffset });
  if (entries === undefined) return undefined;
  const latestFirst = entries.flatMap(readEnd).reverse();
  const found = await latestFirst.reduce<Promise<Result | undefined>>(
    async (former, placed) => (await former) ?? tryEnd(placed),
    Promise.resolve(undefined),
  );
  return (
    found ?? searchEnds(log, { firstOffset: range.firstOffset, endOffset: firstOffset }, tryEnd)
  );
}

/**
 * Reads the snapshot that a closing record ends.
 *
 * Its writer may have died or repeated an append on the way, and other writers may have written
 * in between: only when each part is there and the checksum holds is it a snapshot at all.
 * @param log - The log.
 * @param placed - The closing record.
 * @returns The state, or undefined where the snapshot is not whole or of a newer format.
 */
async function loadSnapshot(
  log: LogPort,
  placed: PlacedEnd,
): Promise<SerializedTables | undefined> {
  const { firstPartOffset, partCount, sha256, snapshotId } = placed.end;
  const range = { firstOffset: firstPartOffset, endOffset: placed.offset };
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
  return hashParts(texts) === sha256 ? readSnapshotText(texts) : undefined;
}

/**
 * Finds the record that closes the latest snapshot, whole or not.
 * @param log - The log.
 * @returns The closing record, or undefined where there is none.
 * @throws RattanliftError Of kind `log-unavailable`.
 */
export async function findLatestSnapshotEnd(log: LogPort): Promise<SnapshotEnd | undefined> {
  const range = await findStreamRange(log, SNAPSHOT_STREAM);
  return searchEnds(log, range, async (placed) => placed.end);
}

/**
 * Loads the latest whole snapshot that this program can read.
 * @param log - The log.
 * @returns The state, or undefined where there is none.
 * @throws RattanliftError Of kind `log-unavailable`.
 */
export async function loadLatestSnapshot(log: LogPort): Promise<SerializedTables | undefined> {
  const range = await findStreamRange(log, SNAPSHOT_STREAM);
  return searchEnds(log, range, (placed) => loadSnapshot(log, placed));
}
