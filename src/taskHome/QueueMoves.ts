import { throwError, toRattanliftError } from '../errors/index.js';
import type { DurableJobRow, PoolSearch, QueueIdentity, QueueReference } from '../jobs/index.js';
import type { EventLog } from '../logging/index.js';
import { getQueueKey, type QueuePools } from '../queues/index.js';
import type { KeyedRecord } from '../store/index.js';
import { decodeReadable } from './decodeReadable.js';
import { decodeQueueClosing, encodeQueueClosing } from './queueClosingRecord.js';
import type { RecordWriter } from './RecordWriter.js';

/** Options of {@link QueueMoves}. */
export interface QueueMovesOptions {
  readonly partition: number;
  readonly queuePools: QueuePools;
  readonly writer: Pick<RecordWriter, 'write'>;
  readonly events: EventLog;
}

/**
 * Sees to it that a home accepts, or denies to have, a job of a queue that operators move.
 *
 * Guards against a job that is accepted by two pools, and so runs twice: entries learn of a move at
 * different times. A home that is asked by a later pool of the queue stores that the queue is
 * closed to entries that are behind, and only then denies a job. So a job that one pool denies is
 * not accepted there afterwards, and the other pool may accept it.
 */
export class QueueMoves {
  private readonly options: QueueMovesOptions;

  /** Version below which submissions are refused, by key of the queue. */
  private readonly closedVersions = new Map<string, number>();

  /**
   * Creates the moves of a home that has not read its partition yet.
   * @param options - The partition, and where pools of queues are registered.
   */
  constructor(options: QueueMovesOptions) {
    this.options = options;
  }

  /**
   * Takes over which queues are closed, and registers queues of jobs that an earlier release has
   * accepted.
   * @param records - All records of the partition.
   * @param rows - Its unfinished jobs.
   */
  restore(records: readonly KeyedRecord[], rows: readonly DurableJobRow[]): void {
    decodeReadable(records, decodeQueueClosing, this.options).forEach(
      ({ queueKey, configurationVersion }) =>
        this.closedVersions.set(queueKey, configurationVersion),
    );
    const unregistered = rows
      .map(({ spec }) => spec.terms)
      .filter(({ configurationVersion }) => configurationVersion === undefined)
      .map((terms) => [getQueueKey(terms), terms] as const);
    new Map(unregistered).forEach((terms) => this.registerInBackground(terms));
  }

  /**
   * Registers the pool of a queue before the queue's first job is stored there. Does nothing for a
   * request of an instance of an earlier release, which names no version.
   * @param queue - The queue.
   * @returns The search that the queue's jobs need: its other pools, which may have the job.
   * @throws RattanliftError Of kind `home-unavailable` if the store does not answer, or
   * `outcome-unknown` if the queue is closed to the version of the request.
   */
  async register(queue: QueueReference): Promise<PoolSearch> {
    const { configurationVersion } = queue;
    if (configurationVersion === undefined) return { pools: [], configurationVersion: 0 };
    const { queuePools } = this.options;
    this.assertOpen(queue);
    if (!this.isRegistered(queue)) await queuePools.register(queue);
    // An entry that is behind may ask a pool that the queue has left since, and is back at. Closed
    // to the entry's version alone, the pool between would go on accepting jobs by its own.
    return {
      pools: queuePools.listOthers(queue),
      configurationVersion: queuePools.getVersion(queue) ?? configurationVersion,
    };
  }

  /**
   * Checks that jobs of a queue may be accepted by a configuration.
   * @param queue - The queue, and the version of the configuration.
   * @throws RattanliftError Of kind `outcome-unknown` if not: a later pool of the queue may have
   * accepted the job.
   */
  assertOpen(queue: QueueReference): void {
    if (!this.isOpen(queue)) throwError('outcome-unknown', 'The queue has moved to another pool.');
  }

  /**
   * Closes a queue to older configurations than that of a request.
   * @param queue - The queue, and the version of the configuration that sends it elsewhere.
   * @returns Resolves once that is stored.
   * @throws RattanliftError If this home has been replaced.
   */
  async close(queue: QueueReference): Promise<void> {
    const { configurationVersion = 0, queue: name } = queue;
    const { events, partition, writer } = this.options;
    if (configurationVersion <= this.getClosedVersion(queue)) {
      // The record may be on its way for another request.
      await writer.write([]);
      return;
    }
    const queueKey = getQueueKey(queue);
    this.closedVersions.set(queueKey, configurationVersion);
    await writer.write([encodeQueueClosing({ queueKey, configurationVersion })]);
    events.write('queueClosed', { queue: name, partition, configurationVersion });
  }

  /**
   * Lists the other pools of a queue, for a question that this home can't answer alone.
   * @param queue - The queue.
   * @returns The pools; none for an instance of an earlier release.
   * @throws RattanliftError Of kind `home-unavailable` if the store does not answer.
   */
  async listOtherPools(queue: QueueReference | undefined): Promise<readonly string[]> {
    if (queue?.configurationVersion === undefined) return [];
    if (!this.isRegistered(queue)) await this.learnPools(queue);
    return this.options.queuePools.listOthers(queue);
  }

  /**
   * Lists the other pools of a queue for a count, which may be as old as the last answer of the
   * store.
   * @param queue - The queue.
   * @returns The pools as far as they are known; none for an instance of an earlier release.
   */
  async listKnownOtherPools(queue: QueueReference): Promise<readonly string[]> {
    const { queuePools } = this.options;
    if (queue.configurationVersion === undefined) return [];
    // A store that does not answer has been logged.
    if (!this.isRegistered(queue)) await queuePools.refresh().catch(() => undefined);
    return queuePools.listOthers(queue);
  }

  /**
   * Learns which pools a queue has had. A registration tells that for good, so that questions for
   * unknown jobs do not read the store each time.
   */
  private async learnPools(queue: QueueReference): Promise<void> {
    const { queuePools } = this.options;
    try {
      this.assertOpen(queue);
      await queuePools.register(queue);
    } catch (thrown) {
      if (toRattanliftError(thrown).kind !== 'outcome-unknown') throw thrown;
      // A later pool came first.
      await queuePools.refresh();
    }
  }

  private isOpen({ configurationVersion = Infinity, ...queue }: QueueReference): boolean {
    return configurationVersion >= this.getClosedVersion(queue);
  }

  private getClosedVersion(queue: QueueIdentity): number {
    return this.closedVersions.get(getQueueKey(queue)) ?? -Infinity;
  }

  /** Tells whether everything is known that was registered for a queue before its pool here. */
  private isRegistered(queue: QueueReference): boolean {
    const version = this.options.queuePools.getVersion(queue);
    return version !== undefined && version >= this.getClosedVersion(queue);
  }

  private registerInBackground(terms: QueueReference): void {
    const { events, queuePools } = this.options;
    queuePools.register(terms).catch((thrown: unknown) => {
      events.write('queuePoolsUnreachable', { queue: terms.queue, reason: String(thrown) });
    });
  }
}
