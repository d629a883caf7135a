import { throwError } from '../errors/index.js';
import type { EventLog } from '../logging/index.js';
import { type Metrics, NoMetrics } from '../metrics/index.js';
import { type Clock, SystemClock } from '../utils/index.js';
import { DEFAULT_HEARTBEAT, type HeartbeatOptions } from './HeartbeatOptions.js';
import { PeerLink, type ReopenOptions } from './PeerLink.js';
import type { PeerAddress, PeerPort, PeerReply, PeerRequest } from './PeerMessage.js';

/** Number of links from which on idle links, such as those of gone instances, are removed. */
const LINK_CLEANUP_THRESHOLD = 64;

const DEFAULT_REOPEN: ReopenOptions = { reopenMinMs: 50, reopenMaxMs: 1000 };

/** Options of {@link PeerClient}. */
export interface PeerClientOptions {
  /** Id of this instance. */
  readonly instance: string;
  readonly events: EventLog;
  readonly heartbeat?: HeartbeatOptions;
  readonly reopen?: ReopenOptions;
  readonly metrics?: Metrics;
  readonly clock?: Clock;
}

/** Calls other instances over TCP, with one connection for each. */
export class PeerClient implements PeerPort {
  private readonly options: PeerClientOptions;

  private readonly links = new Map<string, PeerLink>();

  private readonly systemClock = new SystemClock();

  private closed = false;

  /**
   * Creates a client without connections.
   * @param options - The calling instance and the connection settings.
   */
  constructor(options: PeerClientOptions) {
    this.options = options;
  }

  /** {@inheritDoc PeerPort.call} */
  async call(peer: PeerAddress, request: PeerRequest, waitMs: number): Promise<PeerReply> {
    if (this.closed) throwError('peer-unavailable', 'The client is closed.');
    const { metrics = new NoMetrics(), clock = this.systemClock } = this.options;
    const calledAtMs = clock.monotonicMs();
    const recordDuration = (result: string): void => {
      const durationMs = clock.monotonicMs() - calledAtMs;
      metrics.timing('peer_call_ms', durationMs, { type: request.type, result });
    };
    try {
      const reply = await this.getLink(peer).call(request, waitMs);
      recordDuration(reply.type);
      return reply;
    } catch (thrown) {
      recordDuration('failed');
      throw thrown;
    }
  }

  /** Closes every connection and fails every call. */
  close(): void {
    this.closed = true;
    this.links.forEach((link) => link.stop());
    this.links.clear();
  }

  private getLink(peer: PeerAddress): PeerLink {
    const key = `${peer.instance} ${peer.host}:${peer.port}`;
    const existing = this.links.get(key);
    if (existing) return existing;
    if (this.links.size >= LINK_CLEANUP_THRESHOLD) this.removeIdleLinks();
    const link = this.createLink(peer);
    this.links.set(key, link);
    return link;
  }

  private createLink(peer: PeerAddress): PeerLink {
    const { instance, events } = this.options;
    const { heartbeat = DEFAULT_HEARTBEAT, reopen = DEFAULT_REOPEN } = this.options;
    return new PeerLink({ instance, peer, events, heartbeat, reopen });
  }

  private removeIdleLinks(): void {
    this.links.forEach((link, key) => {
      if (link.idle) this.links.delete(key);
    });
  }
}
