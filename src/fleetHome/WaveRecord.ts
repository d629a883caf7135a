import { z } from 'zod';
import { decodeRecordWithPrefix, encodeRecordValue, type KeyedRecord } from '../store/index.js';

/** Status of a wave as published to operators. */
export type WaveStatus = 'running' | 'completed';

/** Stored progress of a wave. */
export interface WaveRecord {
  readonly wave: number;
  /**
   * Wall-clock time by which every VM's maintenance has to have begun, in milliseconds since the
   * Unix epoch, by the clock of the home that stored the record.
   */
  readonly deadlineAtMs: number;
  /** Time from writing the record to the deadline, in milliseconds; absent in older records. */
  readonly leftMs?: number;
  readonly doneVms: readonly string[];
  readonly status: WaveStatus;
}

const PREFIX = 'wave/';

const recordSchema = z.looseObject({
  wave: z.number(),
  deadlineAtMs: z.number(),
  leftMs: z.number().optional(),
  doneVms: z.array(z.string()),
  status: z.enum(['running', 'completed']),
});

/**
 * Encodes the progress of a wave.
 * @param record - The progress.
 * @returns Its record.
 */
export function encodeWaveRecord(record: WaveRecord): KeyedRecord {
  return { key: `${PREFIX}${record.wave}`, value: encodeRecordValue(record) };
}

/**
 * Decodes the progress of a wave.
 * @param record - A record of the partition of the fleet's home.
 * @returns The progress, or undefined if the record has another type.
 * @throws RattanliftError Of kind `internal` if the record is malformed.
 */
export function decodeWaveRecord(record: KeyedRecord): WaveRecord | undefined {
  return decodeRecordWithPrefix(PREFIX, recordSchema, record);
}
