import { z } from 'zod';

/** Stream that snapshots are written to. */
export const SNAPSHOT_STREAM = 'snapshots';

/** Schema of a piece of a snapshot's text. */
export const snapshotPartSchema = z
  .object({
    type: z.literal('snapshot-part'),
    snapshotId: z.string(),
    index: z.int().nonnegative(),
    text: z.string(),
  })
  .readonly();

/** Schema of the record that closes a snapshot; without it the parts count as nothing. */
export const snapshotEndSchema = z
  .object({
    type: z.literal('snapshot-end'),
    snapshotId: z.string(),
    /** Offset from which on its parts stand on the stream. */
    firstPartOffset: z.int().nonnegative(),
    partCount: z.int().positive(),
    sha256: z.string(),
    /** Offset of the next record to apply to the state. */
    nextOffset: z.int().nonnegative(),
    /** Wall-clock time of the writer. */
    writtenAtMs: z.number(),
  })
  .readonly();

/** A piece of a snapshot's text. */
export type SnapshotPart = z.output<typeof snapshotPartSchema>;
/** The record that closes a snapshot. */
export type SnapshotEnd = z.output<typeof snapshotEndSchema>;
