import { groupBy } from '../utils/index.js';
import type { QueueRoute } from './QueueConfiguration.js';

/** The queues of one host. */
interface HostQueues {
  readonly byPrefix: ReadonlyMap<string, QueueRoute>;
  /** Lengths of the prefixes, the longest first. */
  readonly prefixLengths: readonly number[];
}

function indexHost(queues: readonly QueueRoute[]): HostQueues {
  // Of two queues with the same prefix, the one that is listed first counts.
  const rows = queues.map((queue) => [queue.pathPrefix, queue] as const).toReversed();
  const lengths = new Set(queues.map(({ pathPrefix }) => pathPrefix.length));
  return { byPrefix: new Map(rows), prefixLengths: [...lengths].toSorted((a, b) => b - a) };
}

/**
 * The queues of a configuration by host and path.
 *
 * Guards against entries whose processor is taken by large configurations: a look at each of
 * thousands of queues costs a small instance as much as the call itself.
 */
export class QueueIndex {
  private readonly hosts: ReadonlyMap<string, HostQueues>;

  /**
   * Indexes queues.
   * @param queues - The queues.
   */
  constructor(queues: readonly QueueRoute[]) {
    const byHost = groupBy(queues, ({ host }) => host);
    this.hosts = new Map([...byHost].map(([host, rows]) => [host, indexHost(rows)]));
  }

  /**
   * Finds the queue of a request.
   * @param host - Host of the request.
   * @param path - Path of the request.
   * @returns The queue with the longest matching prefix, or undefined if none matches.
   */
  find(host: string, path: string): QueueRoute | undefined {
    const queues = this.hosts.get(host);
    if (queues === undefined) return undefined;
    const { byPrefix, prefixLengths } = queues;
    const length = prefixLengths.find(
      (each) => path.length >= each && byPrefix.has(path.slice(0, each)),
    );
    return length === undefined ? undefined : byPrefix.get(path.slice(0, length));
  }
}
