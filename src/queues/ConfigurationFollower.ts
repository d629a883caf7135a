import { setTimeout as sleep } from 'node:timers/promises';
import { type EventLog, OutageLog } from '../logging/index.js';
import type { ConfigurationRequest, PeerReply } from '../peers/index.js';
import { KeyedFollower, type KeyedLogPort, type KeyedRecord } from '../store/index.js';
import type { Clock } from '../utils/index.js';
import type { QueueConfiguration } from './QueueConfiguration.js';
import { compressRecord, expandRecord } from './recordCompression.js';

/** Options of {@link ConfigurationFollower}. */
export interface ConfigurationFollowerOptions {
  readonly store: KeyedLogPort;
  readonly topic: string;
  readonly partition: number;
  /** Key of the configuration in the topic. */
  readonly key: string;
  /**
   * Decodes a configuration.
   * @throws RattanliftError Of kind `settings-invalid` with the invalid field.
   */
  readonly decode: (value: Uint8Array) => QueueConfiguration;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Receives the records of the topic that have another key. */
  readonly onOtherRecord?: (record: KeyedRecord) => void;
}

/**
 * Maximum time for which the store delays its response to a read while there are no changes, in
 * milliseconds. A dead connection is detected only after this wait and the read's timeout. Their
 * sum has to stay well below the 2 s within which a configuration has to be in force.
 */
const LONG_POLL_MS = 1_000;
/**
 * Number of missed changes above which the follower reads only the newest configuration, and most
 * changes in an answer. A configuration may have 1 MB, which takes a second on a link of 7 Mbit/s:
 * the newest one may not wait behind those that it has replaced.
 */
const MAX_BEHIND_COUNT = 1;
/** Pause after a failed read, in milliseconds; allows several retries within the limit of 2 s. */
const RETRY_PAUSE_MS = 150;

/** Record of a configuration as a peer has sent it. */
type ConfigurationRecord = Pick<
  Extract<PeerReply, { readonly type: 'configuration-record' }>,
  'version' | 'compressed'
>;

/** Where a configuration was read. */
type ConfigurationOrigin = 'store' | 'peer';

/** How a configuration came to this instance. */
interface Arrival {
  readonly origin: ConfigurationOrigin;
  /** Time that it took to decode, in milliseconds. */
  readonly decodeMs: number;
}

/** Follows the topic of configurations and keeps the newest one that operators have published. */
export class ConfigurationFollower {
  private readonly options: ConfigurationFollowerOptions;

  private readonly follower: KeyedFollower;

  private configuration: QueueConfiguration | undefined;

  /** Record of the configuration in force, as operators have published it. */
  private source: Uint8Array | undefined;

  /** Monotonic time at which the configuration was last known to be the newest one. */
  private confirmedAtMs = Number.NEGATIVE_INFINITY;

  private readonly outage: OutageLog;

  private isStopped = false;

  /**
   * Creates a follower without a configuration.
   * @param options - Store, location and decoder of the configurations.
   */
  constructor(options: ConfigurationFollowerOptions) {
    this.options = options;
    this.outage = new OutageLog({
      events: options.events,
      lost: 'configurationUnreachable',
      regained: 'configurationReachable',
    });
    this.follower = new KeyedFollower({
      ...options,
      onRecord: (record) => this.handleRecord(record),
      maxLagCount: MAX_BEHIND_COUNT,
    });
  }

  /**
   * Gets the configuration in force.
   * @returns The configuration, or undefined until the first one has been read.
   */
  get(): QueueConfiguration | undefined {
    return this.configuration;
  }

  /** Time since the configuration was last known to be the newest one, in milliseconds. */
  get ageMs(): number {
    return this.options.clock.monotonicMs() - this.confirmedAtMs;
  }

  /**
   * Answers a peer that the store does not answer.
   * @param request - What the peer asks for.
   * @returns The version in force or its record, and its age; a refusal before the first one.
   */
  getReply(request: ConfigurationRequest): PeerReply {
    const { configuration, source, ageMs } = this;
    if (configuration === undefined || source === undefined || ageMs === Infinity) {
      const message = 'No configuration was read yet.';
      return { type: 'refused', kind: 'home-unavailable', message };
    }
    const { version } = configuration;
    if (request.type === 'get-configuration-version') {
      return { type: 'configuration-version', version, ageMs };
    }
    const compressed = compressRecord(source);
    this.options.events.write('configurationTold', { version, byteCount: compressed.length });
    return { type: 'configuration-record', version, ageMs, compressed };
  }

  /**
   * Tells whether a version is newer than the one in force.
   * @param version - The version.
   * @returns Whether it is.
   */
  isNews(version: number): boolean {
    return this.configuration === undefined || version > this.configuration.version;
  }

  /**
   * Takes over from a peer that no newer version was published.
   * @param confirmedAtMs - Monotonic time at which the peer knew that.
   */
  confirm(confirmedAtMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, confirmedAtMs);
  }

  /**
   * Takes a configuration over from a peer, unless the store has sent it meanwhile. One that cannot
   * be read leaves the configuration in force as old as it is.
   * @param record - What the peer has replied.
   * @param confirmedAtMs - Monotonic time at which the peer knew it to be the newest one.
   */
  takeFromPeer(record: ConfigurationRecord, confirmedAtMs: number): void {
    if (this.isNews(record.version)) this.decode(() => expandRecord(record.compressed), 'peer');
    if (!this.isNews(record.version)) this.confirm(confirmedAtMs);
  }

  /** Starts to read configurations. */
  start(): void {
    void this.run();
  }

  /** Stops after the read in progress. */
  stop(): void {
    this.isStopped = true;
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      // eslint-disable-next-line no-await-in-loop -- reads are sequential
      await this.read();
    }
  }

  private async read(): Promise<void> {
    const { clock } = this.options;
    const askedAtMs = clock.monotonicMs();
    try {
      await this.follower.read(LONG_POLL_MS);
      // An answer that is read later may have waited for a process that was paused.
      this.confirm(Math.min(clock.monotonicMs(), askedAtMs + LONG_POLL_MS));
      this.outage.noteSuccess({ version: this.configuration?.version });
    } catch (thrown) {
      const { version } = this.configuration ?? {};
      this.outage.noteFailure({ version, reason: String(thrown) });
      await sleep(RETRY_PAUSE_MS);
    }
  }

  private handleRecord(record: KeyedRecord): void {
    const { key, onOtherRecord } = this.options;
    if (record.key !== key) {
      onOtherRecord?.(record);
      return;
    }
    const { value } = record;
    if (value === undefined || this.isInForce(value)) return;
    this.decode(() => value, 'store');
  }

  /** Tells whether a record is the one in force, which a peer may have sent before the store. */
  private isInForce(value: Uint8Array): boolean {
    return this.source !== undefined && Buffer.compare(this.source, value) === 0;
  }

  private decode(readValue: () => Uint8Array, origin: ConfigurationOrigin): void {
    const { decode, events, clock } = this.options;
    const startedAtMs = clock.monotonicMs();
    try {
      const value = readValue();
      const next = decode(value);
      const decodeMs = Math.round(clock.monotonicMs() - startedAtMs);
      this.accept(next, value, { origin, decodeMs });
    } catch (thrown) {
      events.write('configurationUnreadable', { reason: String(thrown) });
    }
  }

  /** Ignores versions that are not newer, since a reload may return an outdated record. */
  private accept(next: QueueConfiguration, source: Uint8Array, arrival: Arrival): void {
    if (!this.isNews(next.version)) return;
    this.configuration = next;
    this.source = source;
    const { version, queues, pools } = next;
    this.options.events.write('configurationInForce', {
      version,
      queueCount: queues.length,
      poolCount: pools.length,
      byteCount: source.length,
      ...arrival,
    });
  }
}
