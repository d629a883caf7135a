import { memoizeByObject } from '../utils/index.js';
import type { QueueConfiguration, QueueRoute } from './QueueConfiguration.js';
import { QueueIndex } from './QueueIndex.js';

const getIndex = memoizeByObject((queues: readonly QueueRoute[]) => new QueueIndex(queues));

/**
 * Finds the queue of a request.
 * @param configuration - The configuration in force.
 * @param host - Host of the request.
 * @param path - Path of the request.
 * @returns The queue with the longest matching prefix, or undefined if none matches.
 */
export function findQueue(
  configuration: QueueConfiguration,
  host: string,
  path: string,
): QueueRoute | undefined {
  return getIndex(configuration.queues).find(host, path);
}
