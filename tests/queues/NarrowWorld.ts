import { setTimeout as sleep } from 'node:timers/promises';
import { MemoryEventLog } from '../../src/logging/index.js';
import type { ConfigurationRequest, PeerAddress, PeerReply } from '../../src/peers/index.js';
import {
  ConfigurationFollower,
  ConfigurationPeers,
  type QueueConfiguration,
} from '../../src/queues/index.js';
import type { KeyedLogPort } from '../../src/store/index.js';
import type { Clock } from '../../src/utils/index.js';
import { LinkedCalls, LinkedStore, NarrowLink } from '../../standins/links/index.js';
import { StoreAccess, StoreStandIn } from '../../standins/store/index.js';

/** Longest time from a change of the configuration to its being in force, in milliseconds. */
export const IN_FORCE_WITHIN_MS = 3_000;

const PLACE = { topic: 'op', partition: 0 };
/** Links have small windows: others have their turns beside a large answer. */
const WINDOW_BYTES = 64 * 1_024;
/** How long the store waits for a change before it answers, in milliseconds. */
const STORE_WAIT_MS = 1_000;
const WRITE_TIMEOUT_MS = 1_000;
const CALL_INTERVAL_MS = 100;
const SHORT_BYTES = 100;

/** The instances that the store always answers. */
export const PEERS: readonly PeerAddress[] = ['a', 'b', 'c'].map((instance) => ({
  instance,
  host: '127.0.0.1',
  port: 1,
}));

function measureReply(reply: PeerReply): number {
  return reply.type === 'configuration-record' ? reply.compressed.length : SHORT_BYTES;
}

/** Options of {@link NarrowWorld}. */
export interface NarrowWorldOptions {
  /** Speed of the narrow link, in megabits per second. */
  readonly linkMbps: number;
  /** Peers that the instance behind the link knows; all if absent. */
  readonly peers?: readonly PeerAddress[];
  readonly clock: Clock;
}

/** An instance behind a narrow link, and three that the store has told everything. */
export class NarrowWorld {
  readonly store = new StoreStandIn({ partitionCount: 1, longestWaitMs: STORE_WAIT_MS });

  readonly access = new StoreAccess(this.store);

  readonly clock: Clock;

  readonly link: NarrowLink;

  readonly narrow: ConfigurationFollower;

  /** Longest time that a short call over the link has taken, in milliseconds. */
  longestCallMs = 0;

  private readonly sources: readonly ConfigurationFollower[];

  private readonly peers: ConfigurationPeers;

  private isStopped = false;

  /**
   * Creates a world that has not started.
   * @param options - The narrow link, and the peers that the instance behind it knows.
   */
  constructor({ linkMbps, peers = PEERS, clock }: NarrowWorldOptions) {
    this.clock = clock;
    const bitsPerMs = linkMbps * 1_000;
    this.link = new NarrowLink({ bitsPerMs, windowBytes: WINDOW_BYTES, clock });
    this.narrow = this.follow(new LinkedStore(this.access, this.link));
    this.sources = PEERS.map(() => this.follow(this.store));
    const calls = new LinkedCalls(this.link);
    this.peers = new ConfigurationPeers({
      follower: this.narrow,
      peers: {
        call: ({ instance }, request, timeoutMs) =>
          calls.call({
            requestBytes: SHORT_BYTES,
            run: async () => this.answer(instance, request as ConfigurationRequest),
            measure: measureReply,
            timeoutMs,
          }),
      },
      listPeers: () => peers,
      clock,
    });
  }

  /** Starts every follower. */
  start(): void {
    [this.narrow, ...this.sources].forEach((follower) => follower.start());
    this.peers.start();
    void this.callHomes();
  }

  /** Stops everything. */
  stop(): void {
    this.isStopped = true;
    [this.narrow, ...this.sources, this.peers].forEach((part) => part.stop());
  }

  /**
   * Publishes a configuration.
   * @param value - Its record.
   */
  async publish(value: Buffer): Promise<void> {
    const records = [{ key: 'config', value }];
    await this.store.append({ ...PLACE, records, timeoutMs: WRITE_TIMEOUT_MS });
  }

  private follow(store: KeyedLogPort): ConfigurationFollower {
    return new ConfigurationFollower({
      store,
      ...PLACE,
      key: 'config',
      decode: (value) => JSON.parse(Buffer.from(value).toString()) as QueueConfiguration,
      clock: this.clock,
      events: new MemoryEventLog(),
    });
  }

  private answer(instance: string, request: ConfigurationRequest): PeerReply {
    const place = PEERS.findIndex((peer) => peer.instance === instance);
    return this.sources[place]!.getReply(request);
  }

  private async callHomes(): Promise<void> {
    while (!this.isStopped) {
      void this.callHome();
      // eslint-disable-next-line no-await-in-loop -- the pause belongs between two calls
      await sleep(CALL_INTERVAL_MS);
    }
  }

  /** Makes a short call, such as one of an entry to a home. */
  private async callHome(): Promise<void> {
    const startedAtMs = this.clock.monotonicMs();
    await this.link.transfer('up', SHORT_BYTES);
    await this.link.transfer('down', SHORT_BYTES);
    this.longestCallMs = Math.max(this.longestCallMs, this.clock.monotonicMs() - startedAtMs);
  }
}
