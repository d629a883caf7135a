import type { QueueTerms } from '../jobs/index.js';
import type { QueueConfiguration, QueueRoute } from './QueueConfiguration.js';

/**
 * Gets the terms of a queue with what tells it from others, and from itself in other versions.
 * @param configuration - The configuration that has the queue.
 * @param route - The queue.
 * @returns The terms, as jobs are stored with them.
 */
export function getQueueTerms(
  { version: configurationVersion }: QueueConfiguration,
  { host, pathPrefix, terms }: QueueRoute,
): QueueTerms {
  return { ...terms, address: `${host}${pathPrefix}`, configurationVersion };
}
