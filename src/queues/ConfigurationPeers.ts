import { setTimeout as sleep } from 'node:timers/promises';
import { type PeerAddress, type PeerPort, PeerRotation } from '../peers/index.js';
import type { Clock } from '../utils/index.js';
import type { ConfigurationFollower } from './ConfigurationFollower.js';

/** Options of {@link ConfigurationPeers}. */
export interface ConfigurationPeersOptions {
  readonly follower: ConfigurationFollower;
  readonly peers: PeerPort;
  /** Lists the other instances that may know the configuration. */
  readonly listPeers: () => readonly PeerAddress[];
  readonly clock: Clock;
}

/**
 * Age of the configuration above which peers are asked, in milliseconds: a read that waits for a
 * change returns each second.
 */
const MAX_AGE_MS = 1_300;
/** Pause between two looks at the age, in milliseconds; a withdrawn key may pass for 3 s. */
const CHECK_INTERVAL_MS = 300;
/** Longest wait for a peer's reply, in milliseconds; a configuration may have 256 KB. */
const REPLY_WAIT_MS = 1_000;

/**
 * Learns newer configurations from other instances while the store does not answer this one.
 *
 * Guards against calls that pass under a withdrawn key, or are refused under a new one, for as long
 * as the store turns this instance away while it serves the others. Versions only rise, so a peer
 * that is behind changes nothing.
 */
export class ConfigurationPeers {
  private readonly options: ConfigurationPeersOptions;

  private readonly rotation = new PeerRotation();

  private isStopped = false;

  /**
   * Creates an inactive learner.
   * @param options - Where the configuration is kept, and whom to ask.
   */
  constructor(options: ConfigurationPeersOptions) {
    this.options = options;
  }

  /** Starts to watch the age of the configuration. */
  start(): void {
    void this.run();
  }

  /** Stops after the questions in progress. */
  stop(): void {
    this.isStopped = true;
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      // eslint-disable-next-line no-await-in-loop -- looks are sequential
      await sleep(CHECK_INTERVAL_MS);
      // eslint-disable-next-line no-await-in-loop -- looks are sequential
      if (this.options.follower.ageMs > MAX_AGE_MS) await this.askPeers();
    }
  }

  private async askPeers(): Promise<void> {
    const asked = this.rotation.takeNext(this.options.listPeers());
    await Promise.all(asked.map((peer) => this.askPeer(peer)));
  }

  private async askPeer(peer: PeerAddress): Promise<void> {
    const { follower, peers, clock } = this.options;
    const askedAtMs = clock.monotonicMs();
    const knownVersion = follower.get()?.version;
    // A peer that does not reply is passed over; the connection to it logs its own failures.
    const reply = await peers
      .call(peer, { type: 'get-configuration', knownVersion }, REPLY_WAIT_MS)
      .catch(() => undefined);
    if (reply?.type !== 'configuration') return;
    follower.takeFromPeer(reply.value, askedAtMs - reply.ageMs);
  }
}
