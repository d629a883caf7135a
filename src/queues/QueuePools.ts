import { throwError } from '../errors/index.js';
import type { QueueReference } from '../jobs/index.js';
import { type EventLog, OutageLog } from '../logging/index.js';
import { KeyedFollower, type KeyedLogPort, type KeyedRecord } from '../store/index.js';
import type { Clock } from '../utils/index.js';
import { decodeQueuePool, encodeQueuePool, getQueueKey, getQueueKeys } from './queuePoolRecord.js';

/** Options of {@link QueuePools}. */
export interface QueuePoolsOptions {
  readonly store: Pick<KeyedLogPort, 'append' | 'readNewest' | 'readFrom'>;
  /** Topic with the pools of all queues, and nothing else. */
  readonly topic: string;
  readonly clock: Clock;
  readonly events: EventLog;
}

/** The topic has one partition, whose order decides which of two pools came first. */
const ONLY_PARTITION = 0;
const APPEND_TIMEOUT_MS = 1_000;
/** Minimum time between two reads that questions call for, in milliseconds: calls are shared. */
const MIN_READ_GAP_MS = 500;

const NO_VERSIONS: ReadonlyMap<string, number> = new Map();

/** Gets the highest version that has sent a queue to another pool. */
function getOtherVersion(versions: ReadonlyMap<string, number>, ownPool: string): number {
  const others = [...versions].filter(([pool]) => pool !== ownPool);
  return Math.max(...others.map(([, version]) => version));
}

/**
 * The pools that the queues have had in any configuration under which a job was accepted.
 *
 * Guards against jobs that are lost as operators move their queue: the configuration tells only
 * where a queue is now, and the partition with an accepted job is that of an earlier pool.
 */
export class QueuePools {
  private readonly options: QueuePoolsOptions;

  private readonly follower: KeyedFollower;

  /** Highest known version that sent a queue to a pool, by key of the queue and by pool. */
  private readonly versionsByQueue = new Map<string, Map<string, number>>();

  private readonly pools = new Set<string>();

  /** Records of a read that is not complete. */
  private readonly unappliedRecords: KeyedRecord[] = [];

  private readonly outage: OutageLog;

  /** The latest read; the next one begins after it, as both use the same follower. */
  private latestRead: Promise<void> = Promise.resolve();

  /** When the latest read that a question called for began, by the monotonic clock. */
  private lastRefreshAtMs = Number.NEGATIVE_INFINITY;

  private latestRefresh: Promise<void> = Promise.resolve();

  private readonly registrations = new Map<string, Promise<void>>();

  /**
   * Creates a view that has read nothing.
   * @param options - Where the pools are kept.
   */
  constructor(options: QueuePoolsOptions) {
    this.options = options;
    this.outage = new OutageLog({ events: options.events, lost: 'queuePoolsUnreachable' });
    this.follower = new KeyedFollower({
      ...options,
      partition: ONLY_PARTITION,
      onRecord: (record) => this.unappliedRecords.push(record),
    });
  }

  /**
   * Lists the pools of all queues.
   * @returns Their distinct names.
   */
  listPools(): readonly string[] {
    return [...this.pools];
  }

  /**
   * Lists the pools that a queue has had besides its present one, under its address or its name.
   * @param queue - The queue.
   * @returns The names of the pools.
   */
  listOthers(queue: QueueReference): readonly string[] {
    const pools = getQueueKeys(queue).flatMap((key) => [...this.getVersions(key).keys()]);
    return [...new Set(pools)].filter((pool) => pool !== queue.pool);
  }

  /**
   * Gets the version under which a queue was registered for its pool, unless a later version is
   * known to have sent it elsewhere. Everything that was registered before that is known.
   * @param queue - The queue.
   * @returns The highest such version, or undefined if there is none.
   */
  getVersion(queue: QueueReference): number | undefined {
    const versions = this.getVersions(getQueueKey(queue));
    const version = versions.get(queue.pool);
    const isNewest = version !== undefined && version >= getOtherVersion(versions, queue.pool);
    return isNewest ? version : undefined;
  }

  /** Reads what was registered since, unless that was done a moment ago. */
  refresh(): Promise<void> {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.lastRefreshAtMs < MIN_READ_GAP_MS) return this.latestRefresh;
    this.lastRefreshAtMs = nowMs;
    this.latestRefresh = this.read(() => this.follower.read(0));
    // A failed read is reported to whoever waits for it; others read again after the gap.
    this.latestRefresh.catch(() => undefined);
    return this.latestRefresh;
  }

  /**
   * Stores that a queue has a pool, and learns of all pools that were stored before.
   * @param queue - The queue, its pool, and the version of the configuration.
   * @throws RattanliftError Of kind `home-unavailable` if the store does not answer, or
   * `outcome-unknown` if a later version has sent the queue elsewhere.
   */
  async register(queue: QueueReference): Promise<void> {
    const { pool, configurationVersion = 0 } = queue;
    this.assertIsNewest(queue, configurationVersion);
    const key = [...getQueueKeys(queue), pool, configurationVersion].join(' ');
    const pending = this.registrations.get(key) ?? this.append(queue, configurationVersion);
    this.registrations.set(key, pending);
    try {
      await pending;
    } finally {
      this.registrations.delete(key);
    }
    this.assertIsNewest(queue, configurationVersion);
  }

  private async append(queue: QueueReference, configurationVersion: number): Promise<void> {
    const { store, topic, events } = this.options;
    const { queue: name, pool } = queue;
    const records = getQueueKeys(queue).map((queueKey) =>
      encodeQueuePool({ queueKey, pool, configurationVersion }),
    );
    const endOffset = await this.attempt(async () => {
      const place = { topic, partition: ONLY_PARTITION };
      const result = await store.append({ ...place, records, timeoutMs: APPEND_TIMEOUT_MS });
      if (result.type !== 'appended') throw new Error(`The append was ${result.type}.`);
      return result.endOffset;
    });
    await this.read(() => this.follower.readTo(endOffset));
    const otherPools = this.listOthers(queue).join(' ');
    events.write('queuePoolRegistered', { queue: name, pool, configurationVersion, otherPools });
  }

  /** Guards against a second run of a job by an entry that does not know of the queue's move. */
  private assertIsNewest(queue: QueueReference, version: number): void {
    if (getOtherVersion(this.getVersions(getQueueKey(queue)), queue.pool) <= version) return;
    throwError('outcome-unknown', 'The queue has moved to another pool.');
  }

  private getVersions(queueKey: string): ReadonlyMap<string, number> {
    return this.versionsByQueue.get(queueKey) ?? NO_VERSIONS;
  }

  /**
   * Reads after the reads before it, as all use the same follower. What is read counts as a whole:
   * a page may hold a registration, and lack an earlier one that was stored behind the reading.
   */
  private read(action: () => Promise<void>): Promise<void> {
    const read = this.latestRead.then(() => this.attempt(action)).then(() => this.applyRecords());
    this.latestRead = read.catch(() => undefined);
    return read;
  }

  private applyRecords(): void {
    this.unappliedRecords.splice(0).forEach((record) => this.applyRecord(record));
  }

  private async attempt<Value>(action: () => Promise<Value>): Promise<Value> {
    try {
      const value = await action();
      this.outage.noteSuccess();
      return value;
    } catch (thrown) {
      this.outage.noteFailure({ reason: String(thrown) });
      return throwError('home-unavailable', 'The pools of the queues cannot be read.');
    }
  }

  private applyRecord(record: KeyedRecord): void {
    const { key, value } = record;
    if (value === undefined) return;
    try {
      const { queueKey, pool, configurationVersion } = decodeQueuePool(record);
      const versions = this.versionsByQueue.get(queueKey) ?? new Map<string, number>();
      this.versionsByQueue.set(queueKey, versions);
      // An append that is carried out late may follow one of a later version.
      const known = versions.get(pool) ?? configurationVersion;
      versions.set(pool, Math.max(known, configurationVersion));
      this.pools.add(pool);
    } catch (thrown) {
      this.options.events.write('recordUnreadable', { key, reason: String(thrown) });
    }
  }
}
