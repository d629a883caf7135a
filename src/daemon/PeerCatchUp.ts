import type { LogFollower } from '../log/index.js';
import type { PeerPort, PeerReply } from '../peers/index.js';
import type { FleetTables, InstanceRow } from '../tables/index.js';
import { KeyedOnce } from '../utils/index.js';
import { toPeerAddress } from './toPeerAddress.js';

/** Options of {@link PeerCatchUp}. */
export interface PeerCatchUpOptions {
  readonly instance: string;
  readonly fleet: FleetTables;
  readonly follower: Pick<LogFollower, 'isLogUnavailable' | 'offer' | 'restore'>;
  readonly peers: PeerPort;
}

const MAX_ENTRY_COUNT = 500;
const PEER_WAIT_MS = 1_000;

/**
 * Reads accepted records from peers while this instance cannot reach the log.
 *
 * Failure: one instance is cut off from the log alone, and goes on with settings and drains that
 * everyone else has replaced. A peer that reads the log hands the missing records on; they are
 * applied in order and without gaps, so the state never goes back.
 */
export class PeerCatchUp {
  private readonly options: PeerCatchUpOptions;

  private readonly asks = new KeyedOnce();

  private turn = 0;

  /**
   * Creates a reader that asks nobody yet.
   * @param options - State, follower and peers.
   */
  constructor(options: PeerCatchUpOptions) {
    this.options = options;
  }

  /** Asks the next peer while the log is out. */
  tick(): void {
    if (!this.options.follower.isLogUnavailable) return;
    const peers = this.options.fleet.instances
      .list()
      .filter((row) => row.state === 'joined' && row.instance !== this.options.instance);
    if (peers.length === 0) return;
    const peer = peers[this.turn % peers.length]!;
    const isStarted = this.asks.start('ask', () => this.ask(peer));
    if (isStarted) this.turn += 1;
  }

  private async ask(peer: InstanceRow): Promise<void> {
    const { fleet, follower, peers } = this.options;
    const fromOffset = fleet.nextOffset;
    const request = { type: 'get-entries', fromOffset, maxCount: MAX_ENTRY_COUNT } as const;
    const reply = await peers
      .call(toPeerAddress(peer), request, PEER_WAIT_MS)
      .catch((): PeerReply => ({ type: 'done' }));
    if (reply.type === 'entries') follower.offer(reply.entries);
    if (reply.type === 'refused' && reply.kind === 'log-unavailable') await this.takeState(peer);
  }

  private async takeState(peer: InstanceRow): Promise<void> {
    const { follower, peers } = this.options;
    const reply = await peers
      .call(toPeerAddress(peer), { type: 'get-tables' }, PEER_WAIT_MS)
      .catch((): PeerReply => ({ type: 'done' }));
    if (reply.type !== 'state') return;
    follower.restore(JSON.parse(reply.json));
  }
}
