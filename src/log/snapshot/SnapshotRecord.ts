import { z } from 'zod';

/** Name of the log stream that holds the snapshots. */
export const SNAPSHOT_STREAM = 'snapshots';

/** Schema of a record that holds a part of a snapshot's text. */
export const snapshotPartSchema = z
  .object({
    type: z.literal('snapshot-part'),
    snapshotId: z.string(),
    index: z.int().nonnegative(),
    text: z.string(),
  })
  .readonly();

/** Schema of the record that completes a snapshot; parts without it are ignored. */
export const snapshotEndSchema = z
  .object({
    type: z.literal('snapshot-end'),
    snapshotId: z.string(),
    /** Offset of the first part on the stream. */
    firstPartOffset: z.int().nonnegative(),
    partCount: z.int().positive(),
    sha256: z.string(),
    /** Offset of the next record to apply to the state. */
    nextOffset: z.int().nonnegative(),
    /** Wall-clock time of the writer. */
    writtenAtMs: z.number(),
  })
  .readonly();

/** A record that holds a part of a snapshot's text. */
export type SnapshotPart = z.output<typeof snapshotPartSchema>;
/** The record that completes a snapshot. */
export type SnapshotEnd = z.output<typeof snapshotEndSchema>;
