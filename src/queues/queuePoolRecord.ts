import { createHash } from 'node:crypto';
import { z } from 'zod';
import type { QueueIdentity } from '../jobs/index.js';
import { decodeRecordValue, encodeRecordValue, type KeyedRecord } from '../store/index.js';

const DIGEST_ALGORITHM = 'sha256';
/** Length of a digest in keys, in hexadecimal digits: 128 bits, so no two names meet. */
const DIGEST_LENGTH = 32;

/** A pool to which a configuration sent a queue. */
export interface QueuePool {
  /** Key of the queue, as {@link getQueueKeys} gives it. */
  readonly queueKey: string;
  readonly pool: string;
  /** Version of the configuration. */
  readonly configurationVersion: number;
}

const recordSchema = z.looseObject({
  queueKey: z.string(),
  pool: z.string(),
  configurationVersion: z.number(),
});

/** Names are of any length, keys of the store are not. */
function digest(text: string): string {
  return createHash(DIGEST_ALGORITHM).update(text).digest('hex').slice(0, DIGEST_LENGTH);
}

function getNameKey({ queue }: Pick<QueueIdentity, 'queue'>): string {
  return digest(`name ${queue}`);
}

/**
 * Gets the key of a queue, which no configuration changes while callers reach the queue.
 * @param queue - The queue.
 * @returns The key of its address; that of its name if it has no address.
 */
export function getQueueKey(queue: QueueIdentity): string {
  const { address } = queue;
  return address === undefined ? getNameKey(queue) : digest(`address ${address}`);
}

/**
 * Gets all keys under which a queue is registered.
 * @param queue - The queue.
 * @returns Its own key, and that of its name if that is another one.
 */
export function getQueueKeys(queue: QueueIdentity): readonly string[] {
  return [...new Set([getQueueKey(queue), getNameKey(queue)])];
}

/**
 * Encodes that a queue has a pool.
 * @param queuePool - The queue and the pool.
 * @returns The record, one for each queue and pool.
 */
export function encodeQueuePool(queuePool: QueuePool): KeyedRecord {
  const key = `${queuePool.queueKey}/${digest(queuePool.pool)}`;
  return { key, value: encodeRecordValue(queuePool) };
}

/**
 * Decodes that a queue has a pool.
 * @param record - A record with a value.
 * @returns The queue and the pool.
 * @throws RattanliftError Of kind `internal` if the record is malformed.
 */
export function decodeQueuePool(record: KeyedRecord): QueuePool {
  return decodeRecordValue(recordSchema, record);
}
