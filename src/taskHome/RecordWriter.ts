import { setTimeout as sleep } from 'node:timers/promises';
import { RattanliftError } from '../errors/index.js';
import type { EventLog } from '../logging/index.js';
import type { AppendResult, KeyedLogPort, KeyedRecord } from '../store/index.js';
import { AdaptiveTimeout, assertNever, type Clock } from '../utils/index.js';
import { AppendRepeats } from './AppendRepeats.js';
import { getMaxAppendBytes } from './getMaxAppendBytes.js';

/** Options of {@link RecordWriter}. */
export interface RecordWriterOptions {
  readonly store: Pick<KeyedLogPort, 'append'>;
  readonly topic: string;
  readonly partition: number;
  readonly producer: string;
  readonly term: number;
  /** Number of the latest append in this term, after which the writer continues; 0 if absent. */
  readonly lastSequence?: number;
  /** Maximum size of an append, in bytes of record values; a larger record is appended alone. */
  readonly maxAppendBytes?: number | undefined;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Called once when another writer has taken over the partition. */
  readonly onFenced: () => void;
}

/** Waits for an answer, which usually takes 10 ms; a store at 1 % of its speed takes 0.4 s. */
const APPEND_TIMEOUT = { shortestMs: 250, longestMs: 1_000 };
/** Pause before an append is repeated: a few times the store's usual latency of 10 ms. */
const RETRY_PAUSE_MS = 50;
/** Time without an answer after which new jobs are refused: the store is slow or unavailable. */
const STALLED_AFTER_MS = 500;
/** Assumed speed of a link whose speed is not given, in megabits per second. */
const DEFAULT_LINK_MBPS = 10;
const DEFAULT_MAX_APPEND_BYTES = getMaxAppendBytes(DEFAULT_LINK_MBPS);

/** A record with its position in the order of appends. */
interface NumberedRecord {
  readonly record: KeyedRecord;
  readonly number: number;
}

interface Waiter {
  /** Number of the first record of the call; 0 if it has none and waits for earlier records. */
  readonly firstNumber: number;
  /** Number of the last record that has to be stored. */
  readonly lastNumber: number;
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}

/**
 * Writes records of one partition in order, one append at a time. Records that are added during an
 * append are batched into the next one.
 *
 * An append is repeated under the same number until it is answered. The store answers a repeat like
 * the first attempt, so a lost answer neither duplicates a record nor leaves its outcome unknown.
 */
export class RecordWriter {
  private readonly options: RecordWriterOptions;

  private readonly repeats: AppendRepeats;

  private readonly timeout = new AdaptiveTimeout(APPEND_TIMEOUT);

  private sequence: number;

  private readonly pending = new Map<string, NumberedRecord>();

  private lastNumber = 0;

  /** Number of the last record that was sent, whether or not it was answered. */
  private lastSentNumber = 0;

  private waiters: readonly Waiter[] = [];

  /** The latest append, in flight or done. */
  private lastAppend: Promise<void> = Promise.resolve();

  private isWriting = false;

  private isClosed = false;

  private busySinceMs: number | undefined;

  private storedEndOffset: number | undefined;

  /**
   * Creates a writer for a term that the store already knows from the append that opened it.
   * @param options - Partition, term and store.
   */
  constructor(options: RecordWriterOptions) {
    this.options = options;
    this.repeats = new AppendRepeats(options);
    this.sequence = options.lastSequence ?? 0;
  }

  /** End of the partition after the latest stored append; undefined before the first one. */
  get endOffset(): number | undefined {
    return this.storedEndOffset;
  }

  /** Whether the store has not answered the current append for some time. */
  get isStalled(): boolean {
    const { busySinceMs } = this;
    if (busySinceMs === undefined) return false;
    return this.options.clock.monotonicMs() - busySinceMs > STALLED_AFTER_MS;
  }

  /**
   * Writes records; the latest record of a key wins.
   *
   * A call without records waits for the records of earlier calls. Otherwise an end that a target
   * repeats while its record is in flight would count as stored, since nothing is left to write:
   * it would be acknowledged, the target would discard it, and the next home would run the task
   * again.
   * @param records - The records.
   * @returns Resolves once these and all earlier records are stored.
   * @throws RattanliftError Of kind `home-unavailable` if none of them was ever sent, or
   * `outcome-unknown` if the writer was closed while some may be stored.
   */
  write(records: readonly KeyedRecord[]): Promise<void> {
    if (this.isClosed) return Promise.reject(this.createError('home-unavailable'));
    if (records.length === 0 && this.waiters.length === 0) return this.lastAppend;
    const numbers = records.map((record) => this.enqueue(record));
    const firstNumber = numbers.length === 0 ? 0 : Math.min(...numbers);
    return new Promise((resolve, reject) => {
      const { lastNumber } = this;
      this.waiters = [...this.waiters, { firstNumber, lastNumber, resolve, reject }];
      if (!this.isWriting) void this.writePending();
    });
  }

  /**
   * Waits for the append in progress.
   * @returns Resolves once it has succeeded or failed; within this turn if there is none.
   */
  whenIdle(): Promise<void> {
    return this.lastAppend.catch(() => undefined);
  }

  /**
   * Closes the writer; records that were not sent are not written.
   *
   * A call fails as `home-unavailable` only if none of its records was sent. Its records may be
   * split over several appends, of which the first are stored while the last still wait; reporting
   * "not run" would then be wrong for a job that is stored.
   */
  close(): void {
    this.isClosed = true;
    const { waiters, lastSentNumber } = this;
    this.waiters = [];
    waiters.forEach(({ firstNumber, reject }) =>
      reject(
        this.createError(firstNumber > lastSentNumber ? 'home-unavailable' : 'outcome-unknown'),
      ),
    );
  }

  /** Queues a record; it replaces a waiting record with the same key at that record's position. */
  private enqueue(record: KeyedRecord): number {
    const known = this.pending.get(record.key);
    if (known === undefined) this.lastNumber += 1;
    const number = known?.number ?? this.lastNumber;
    this.pending.set(record.key, { record, number });
    return number;
  }

  private async writePending(): Promise<void> {
    this.isWriting = true;
    // Waits for the end of this turn, so that all records of one decision share an append.
    await Promise.resolve();
    while (this.waiters.length > 0 && !this.isClosed) {
      // eslint-disable-next-line no-await-in-loop -- appends of a partition keep their order
      await this.writeBatch();
    }
    this.isWriting = false;
  }

  private async writeBatch(): Promise<void> {
    const batch = this.takeBatch();
    const lastNumber = batch.at(-1)!.number;
    const waiters = this.waiters.filter((waiter) => waiter.lastNumber <= lastNumber);
    this.waiters = this.waiters.filter((waiter) => waiter.lastNumber > lastNumber);
    this.lastSentNumber = lastNumber;
    this.sequence += 1;
    this.busySinceMs = this.options.clock.monotonicMs();
    this.lastAppend = this.appendUntilAnswered(batch.map(({ record }) => record));
    try {
      await this.lastAppend;
      waiters.forEach(({ resolve }) => resolve());
    } catch (thrown) {
      waiters.forEach(({ reject }) => reject(thrown as Error));
    }
    this.busySinceMs = undefined;
  }

  /**
   * Takes the records of the next append, oldest first.
   *
   * The size is limited so that an append completes within the longest wait for an answer.
   * Megabytes of records may accumulate while the store is unavailable, and an append must be
   * repeated unchanged. On a slow link, an append of all of them would time out on every attempt;
   * the log would show `appendUnanswered` without end after the store is back.
   */
  private takeBatch(): readonly NumberedRecord[] {
    const { maxAppendBytes = DEFAULT_MAX_APPEND_BYTES } = this.options;
    let sizeBytes = 0;
    const pendingRecords = [...this.pending.values()];
    const endIndex = pendingRecords.findIndex(({ record }) => {
      sizeBytes += record.value?.length ?? 0;
      return sizeBytes > maxAppendBytes;
    });
    const batch = endIndex < 0 ? pendingRecords : pendingRecords.slice(0, Math.max(1, endIndex));
    batch.forEach(({ record }) => this.pending.delete(record.key));
    return batch;
  }

  private async appendUntilAnswered(records: readonly KeyedRecord[]): Promise<void> {
    this.repeats.begin(records.length);
    let isStored: boolean | undefined;
    while (isStored === undefined && !this.isClosed) {
      // eslint-disable-next-line no-await-in-loop -- a repeat follows the attempt before it
      isStored = await this.appendOnce(records);
      // eslint-disable-next-line no-await-in-loop -- the pause belongs between two attempts
      if (isStored === undefined) await sleep(RETRY_PAUSE_MS);
    }
    if (isStored !== true) throw this.createError('outcome-unknown');
  }

  /** Attempts the append once; undefined means that the same append must be repeated. */
  private async appendOnce(records: readonly KeyedRecord[]): Promise<boolean | undefined> {
    const { store, topic, partition, producer, term, clock, events } = this.options;
    const fence = { producer, term, sequence: this.sequence };
    try {
      const result = await this.timeout.run(clock, (timeoutMs) =>
        store.append({ topic, partition, records, fence, timeoutMs }),
      );
      return this.handleResult(result);
    } catch (thrown) {
      const reason = String(thrown);
      events.write('appendUnanswered', { topic, partition, term, reason });
      this.repeats.noteFailure(reason);
      return undefined;
    }
  }

  private handleResult(result: AppendResult): boolean | undefined {
    const { topic, partition, term, events, onFenced } = this.options;
    switch (result.type) {
      case 'appended':
        this.storedEndOffset = result.endOffset;
        return true;
      case 'rejected':
        events.write('appendRejected', { topic, partition, term, reason: result.reason });
        this.repeats.noteFailure(result.reason);
        return undefined;
      case 'fenced':
      case 'out-of-sequence':
        events.write('writerFenced', {
          topic,
          partition,
          term,
          reason: result.type,
          sequence: this.sequence,
          expectedSequence: result.type === 'out-of-sequence' ? result.expectedSequence : undefined,
        });
        this.close();
        onFenced();
        return false;
      default:
        return assertNever(result);
    }
  }

  private createError(kind: 'home-unavailable' | 'outcome-unknown'): RattanliftError {
    const { topic, partition } = this.options;
    return new RattanliftError({ kind, message: `The writer of ${topic} ${partition} is closed.` });
  }
}
