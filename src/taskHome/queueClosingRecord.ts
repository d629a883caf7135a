import { z } from 'zod';
import { decodeRecordWithPrefix, encodeRecordValue, type KeyedRecord } from '../store/index.js';

/** Below which version of the configuration a partition takes no jobs of a queue. */
export interface QueueClosing {
  readonly queueKey: string;
  readonly configurationVersion: number;
}

const PREFIX = 'closed-queue/';

const closingSchema = z.looseObject({ queueKey: z.string(), configurationVersion: z.number() });

/**
 * Encodes that a partition has closed a queue.
 * @param closing - The queue and the version.
 * @returns The record, which replaces that of an earlier version.
 */
export function encodeQueueClosing(closing: QueueClosing): KeyedRecord {
  return { key: `${PREFIX}${closing.queueKey}`, value: encodeRecordValue(closing) };
}

/**
 * Decodes that a partition has closed a queue.
 * @param record - A record of the partition.
 * @returns The queue and the version; undefined if the record is of another kind.
 * @throws RattanliftError Of kind `internal` if the record is malformed.
 */
export function decodeQueueClosing(record: KeyedRecord): QueueClosing | undefined {
  return decodeRecordWithPrefix(PREFIX, closingSchema, record);
}
