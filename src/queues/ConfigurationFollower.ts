import { setTimeout as sleep } from 'node:timers/promises';
import { type EventLog, OutageLog } from '../logging/index.js';
import { KeyedFollower, type KeyedLogPort, type KeyedRecord } from '../store/index.js';
import type { QueueConfiguration } from './QueueConfiguration.js';

/** Options of {@link ConfigurationFollower}. */
export interface ConfigurationFollowerOptions {
  readonly store: KeyedLogPort;
  readonly topic: string;
  readonly partition: number;
  /** Key of the configuration in the topic. */
  readonly key: string;
  /**
   * Decodes a configuration.
   * @throws RattanliftError Of kind `settings-invalid` with the field at fault.
   */
  readonly decode: (value: Uint8Array) => QueueConfiguration;
  readonly events: EventLog;
  /** Takes the other records of the topic. */
  readonly onOther?: (record: KeyedRecord) => void;
}

/**
 * How long the store holds a reading back where nothing changes, in milliseconds. A connection that
 * has gone silent shows only by the end of this wait and its time-out, which together have to stay
 * well below the 2 s within which a configuration has to be in force.
 */
const WAIT_MS = 1_000;
/**
 * Changes from which on a reader that is behind takes the newest configuration alone. A
 * configuration may have 256 KB, and 60 of them take 9 s on a link of 14 Mbit/s.
 */
const MAX_BEHIND_COUNT = 4;
/** Pause after a failed reading, in milliseconds: several tries within the bound of 2 s. */
const RETRY_PAUSE_MS = 150;

/** Keeps the newest configuration that operators have published. */
export class ConfigurationFollower {
  private readonly options: ConfigurationFollowerOptions;

  private readonly follower: KeyedFollower;

  private configuration: QueueConfiguration | undefined;

  private readonly outage: OutageLog;

  private isStopped = false;

  /**
   * Creates a follower without a configuration.
   * @param options - Where configurations are published.
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
      onRecord: (record) => this.take(record),
      maxBehindCount: MAX_BEHIND_COUNT,
    });
  }

  /**
   * Gets the configuration in force.
   * @returns The configuration, or undefined before the first one was read.
   */
  get(): QueueConfiguration | undefined {
    return this.configuration;
  }

  /** Begins to follow. */
  start(): void {
    void this.run();
  }

  /** Ends after the reading in progress. */
  stop(): void {
    this.isStopped = true;
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      // eslint-disable-next-line no-await-in-loop -- one reading follows the other
      await this.read();
    }
  }

  private async read(): Promise<void> {
    try {
      await this.follower.read(WAIT_MS);
      this.outage.noteSuccess({ version: this.configuration?.version });
    } catch (thrown) {
      const { version } = this.configuration ?? {};
      this.outage.noteFailure({ version, reason: String(thrown) });
      await sleep(RETRY_PAUSE_MS);
    }
  }

  private take(record: KeyedRecord): void {
    const { key, decode, events, onOther } = this.options;
    if (record.key !== key) {
      onOther?.(record);
      return;
    }
    if (record.value === undefined) return;
    try {
      this.accept(decode(record.value));
    } catch (thrown) {
      events.write('configurationUnreadable', { reason: String(thrown) });
    }
  }

  /** Guards against a step back: a reload may meet an older record than one that is in force. */
  private accept(next: QueueConfiguration): void {
    if (this.configuration !== undefined && next.version <= this.configuration.version) return;
    this.configuration = next;
    const { version, queues, pools } = next;
    this.options.events.write('configurationInForce', {
      version,
      queueCount: queues.length,
      poolCount: pools.length,
    });
  }
}
