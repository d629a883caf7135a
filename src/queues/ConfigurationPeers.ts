import { setTimeout as sleep } from 'node:timers/promises';
import {
  type ConfigurationRequest,
  type PeerAddress,
  type PeerPort,
  type PeerReply,
  PeerRotation,
} from '../peers/index.js';
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
/** Longest wait for the version that a peer has, in milliseconds: a short reply on a busy link. */
const VERSION_WAIT_MS = 600;
/** Longest wait for a record, in milliseconds: 200 KB beside others on 2 Mbit/s. */
const RECORD_WAIT_MS = 2_000;

/** Version that a peer has told. */
interface ToldVersion {
  readonly peer: PeerAddress;
  readonly version: number;
  /** Monotonic time at which the peer knew it to be the newest one. */
  readonly confirmedAtMs: number;
}

/**
 * Learns newer configurations from other instances while the store does not answer this one.
 *
 * Guards against calls that pass under a withdrawn key, or are refused under a new one, for as long
 * as the store turns this instance away while it serves the others. Versions only rise, so a peer
 * that is behind changes nothing.
 *
 * Guards also against records that fill the link of an instance: while a large one is on its way
 * from the store, the configuration looks as if the store did not answer. Peers tell their versions
 * first, and one of them sends the record, compressed.
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
    const { follower } = this.options;
    const asked = this.rotation.takeNext(this.options.listPeers());
    const replies = await Promise.all(asked.map((peer) => this.askVersion(peer)));
    const told = replies.filter((reply) => reply !== undefined);
    told
      .filter(({ version }) => !follower.isNews(version))
      .forEach(({ confirmedAtMs }) => follower.confirm(confirmedAtMs));
    const [newest] = told.toSorted((a, b) => b.version - a.version);
    if (newest !== undefined && follower.isNews(newest.version)) await this.fetch(newest.peer);
  }

  private async askVersion(peer: PeerAddress): Promise<ToldVersion | undefined> {
    const askedAtMs = this.options.clock.monotonicMs();
    const reply = await this.call(peer, { type: 'get-configuration-version' }, VERSION_WAIT_MS);
    if (reply?.type !== 'configuration-version') return undefined;
    return { peer, version: reply.version, confirmedAtMs: askedAtMs - reply.ageMs };
  }

  private async fetch(peer: PeerAddress): Promise<void> {
    const askedAtMs = this.options.clock.monotonicMs();
    const reply = await this.call(peer, { type: 'get-configuration-record' }, RECORD_WAIT_MS);
    if (reply?.type !== 'configuration-record') return;
    this.options.follower.takeFromPeer(reply, askedAtMs - reply.ageMs);
  }

  /** A peer that does not reply is passed over; the connection to it logs its own failures. */
  private call(
    peer: PeerAddress,
    request: ConfigurationRequest,
    waitMs: number,
  ): Promise<PeerReply | undefined> {
    return this.options.peers.call(peer, request, waitMs).catch(() => undefined);
  }
}
