import type { QueueTerms } from '../jobs/index.js';

/** A queue and how callers reach it. */
export interface QueueRoute {
  /** Host that callers name. */
  readonly host: string;
  /** Paths that begin so belong to the queue, unless a longer prefix fits. */
  readonly pathPrefix: string;
  readonly terms: QueueTerms;
}

/** A pool of targets of the configuration. */
export interface PoolDefinition {
  readonly pool: string;
  /** Whether the pool's VMs are switched off and serve as a reserve of the others. */
  readonly isStandby: boolean;
}

/** What operators have published, whole. */
export interface QueueConfiguration {
  /** Grows with each publication, by any step. */
  readonly version: number;
  readonly queues: readonly QueueRoute[];
  readonly pools: readonly PoolDefinition[];
}

/**
 * Finds the queue of a request.
 * @param configuration - The configuration in force.
 * @param host - Host that the caller named.
 * @param path - Path of the request.
 * @returns The queue with the longest prefix that fits, or undefined.
 */
export function findQueue(
  configuration: QueueConfiguration,
  host: string,
  path: string,
): QueueRoute | undefined {
  return configuration.queues
    .filter((queue) => queue.host === host && path.startsWith(queue.pathPrefix))
    .toSorted((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
}
