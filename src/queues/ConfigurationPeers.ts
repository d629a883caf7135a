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
/** Longest wait for the version that a peer has, in milliseconds: a short reply on a full link. */
const VERSION_WAIT_MS = 1_000;
/** Longest wait for a record, in milliseconds: 200 KB beside others on 2 Mbit/s. */
const RECORD_WAIT_MS = 2_000;

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

  /** The latest fetch of a record; one at a time is on its way. */
  private lastFetch: Promise<void> = Promise.resolve();

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
    const { follower, clock } = this.options;
    const askedAtMs = clock.monotonicMs();
    const reply = await this.call(peer, { type: 'get-configuration-version' }, VERSION_WAIT_MS);
    if (reply?.type !== 'configuration-version') return;
    const { version, ageMs } = reply;
    if (follower.isNews(version)) await this.fetchInTurn(peer, version);
    else follower.confirm(askedAtMs - ageMs);
  }

  /** Fetches from the first peer that knows a newer version; the next one helps if that fails. */
  private fetchInTurn(peer: PeerAddress, version: number): Promise<void> {
    const fetchIfNews = async (): Promise<void> => {
      if (this.options.follower.isNews(version)) await this.fetch(peer);
    };
    this.lastFetch = this.lastFetch.then(fetchIfNews);
    return this.lastFetch;
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
