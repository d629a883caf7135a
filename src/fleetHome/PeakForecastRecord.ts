import { z } from 'zod';
import { decodeRecordWithPrefix, encodeRecordValue, type KeyedRecord } from '../store/index.js';

const PREFIX = 'peak-forecast/';

const rhythmSchema = z.looseObject({
  intervalsMs: z.array(z.number().positive()).readonly(),
  errorsMs: z.array(z.number().nonnegative()).readonly(),
  outcomes: z.array(z.boolean()).readonly(),
  /** Wall-clock time of the latest beginning, in ms since the Unix epoch, by the home's clock. */
  lastBeganAtMs: z.number().optional(),
});

const turnsSchema = z.looseObject({
  type: z.literal('turns'),
  rhythm: rhythmSchema,
  turnPools: z.array(z.string()).readonly(),
  successors: z.record(
    z.string(),
    z.looseObject({ pool: z.string(), intervalMs: z.number().positive() }),
  ),
});

const poolSchema = z.looseObject({
  type: z.literal('pool'),
  pool: z.string(),
  rhythm: rhythmSchema,
  vmCount: z.number().nonnegative().optional(),
  growthFactor: z.number().nonnegative().optional(),
  lengthMs: z.number().nonnegative().optional(),
});

const recordSchema = z.discriminatedUnion('type', [turnsSchema, poolSchema]);

/** Stored rhythm of load peaks. */
export type PeakRhythmRecord = Readonly<z.output<typeof rhythmSchema>>;

/** Stored knowledge of peaks that recur: of the turns of pools, or of the peaks of one pool. */
export type PeakForecastRecord = Readonly<z.output<typeof recordSchema>>;

/**
 * Encodes what was learned about peaks that recur, for the next home of the fleet.
 * @param record - The knowledge.
 * @returns Its record.
 */
export function encodePeakForecastRecord(record: PeakForecastRecord): KeyedRecord {
  const key = record.type === 'turns' ? `${PREFIX}turns` : `${PREFIX}pool/${record.pool}`;
  return { key, value: encodeRecordValue(record) };
}

/**
 * Decodes what was learned about peaks that recur.
 * @param record - A record of the partition of the fleet's home.
 * @returns The knowledge, or undefined if the record has another type.
 * @throws RattanliftError Of kind `internal` if the record is malformed.
 */
export function decodePeakForecastRecord(record: KeyedRecord): PeakForecastRecord | undefined {
  return decodeRecordWithPrefix(PREFIX, recordSchema, record);
}
