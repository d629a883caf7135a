import { setTimeout as sleep } from 'node:timers/promises';
import { RattanliftError } from '../errors/index.js';
import type { EventLog } from '../logging/index.js';
import type { AppendResult, KeyedLogPort, KeyedRecord } from '../store/index.js';
import { AdaptiveTimeout, assertNever, type Clock } from '../utils/index.js';
import { getMaxAppendBytes } from './getMaxAppendBytes.js';

/** Options of {@link RecordWriter}. */
export interface RecordWriterOptions {
  readonly store: Pick<KeyedLogPort, 'append'>;
  readonly topic: string;
  readonly partition: number;
  readonly producer: string;
  readonly term: number;
  /** Number of the latest append in this term, after which the writer goes on; 0 where absent. */
  readonly lastSequence?: number;
  /** Most bytes of an append, in values; a larger record goes alone. */
  readonly maxAppendBytes?: number | undefined;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Called once where another writer has taken the partition over. */
  readonly onFenced: () => void;
}

/** Waits for one answer: usually 10 ms; a store at a hundredth of its speed answers in 0.4 s. */
const APPEND_TIMEOUT = { shortestMs: 250, longestMs: 1_000 };
/** Pause before an append is repeated: a few times the store's usual 10 ms. */
const RETRY_PAUSE_MS = 50;
/** Time without an answer from which new work is turned away: the store is slow or away. */
const STALLED_AFTER_MS = 500;
/** Speed that a link is taken to have where nothing is said of it, in megabits a second. */
const USUAL_LINK_MBPS = 10;
const DEFAULT_MAX_APPEND_BYTES = getMaxAppendBytes(USUAL_LINK_MBPS);

/** A record with its place in the order of appends. */
interface NumberedRecord {
  readonly record: KeyedRecord;
  readonly number: number;
}

interface Waiter {
  /** Number of the first record of the call; 0 where it has none and waits for those before. */
  readonly firstNumber: number;
  /** Number of the last record that has to be stored. */
  readonly lastNumber: number;
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}

/**
 * Writes records of one partition in order, one append at a time; what comes meanwhile goes into
 * the next one together.
 *
 * An append is repeated under the same number until it has an answer. The store answers a repeat
 * like the first, so that an answer that was lost neither doubles a record nor leaves it in doubt.
 */
export class RecordWriter {
  private readonly options: RecordWriterOptions;

  private readonly timeout = new AdaptiveTimeout(APPEND_TIMEOUT);

  private sequence: number;

  private readonly pending = new Map<string, NumberedRecord>();

  private lastNumber = 0;

  /** Number of the last record that was sent, whether or not that had an answer. */
  private lastSentNumber = 0;

  private waiters: readonly Waiter[] = [];

  /** The latest append, in flight or done. */
  private lastBatch: Promise<void> = Promise.resolve();

  private isWriting = false;

  private isClosed = false;

  private busySinceMs: number | undefined;

  /**
   * Creates a writer whose term the store knows already, by the append that opened it.
   * @param options - Partition, term and store.
   */
  constructor(options: RecordWriterOptions) {
    this.options = options;
    this.sequence = options.lastSequence ?? 0;
  }

  /** Whether the store has left an append without an answer for a while. */
  get isStalled(): boolean {
    const { busySinceMs } = this;
    if (busySinceMs === undefined) return false;
    return this.options.clock.monotonicMs() - busySinceMs > STALLED_AFTER_MS;
  }

  /**
   * Writes records; the latest one of a key stands.
   *
   * Without records it waits for those of earlier calls. Guards against an end that a target
   * repeats while its record is still on the way: nothing is left to write, and taken as stored it
   * would be acknowledged, forgotten by the target, and run again by the next home.
   * @param records - The records.
   * @returns Resolves once they, and all before them, are stored.
   * @throws RattanliftError Of kind `home-unavailable` where none of them was ever sent, or
   * `outcome-unknown` where the writer ended while some may be stored.
   */
  write(records: readonly KeyedRecord[]): Promise<void> {
    if (this.isClosed) return Promise.reject(this.createError('home-unavailable'));
    if (records.length === 0 && this.waiters.length === 0) return this.lastBatch;
    const numbers = records.map((record) => this.add(record));
    const firstNumber = numbers.length === 0 ? 0 : Math.min(...numbers);
    return new Promise((resolve, reject) => {
      const { lastNumber } = this;
      this.waiters = [...this.waiters, { firstNumber, lastNumber, resolve, reject }];
      if (!this.isWriting) void this.writeAll();
    });
  }

  /**
   * Waits for the append in progress.
   * @returns Resolves once it has ended, in whatever way; within this turn where there is none.
   */
  whenIdle(): Promise<void> {
    return this.lastBatch.catch(() => undefined);
  }

  /**
   * Ends the writer; records that were not sent are not written.
   *
   * Guards against "not run" for a job that is stored: the records of a call may be shared out over
   * several appends, of which the first are stored while the last still wait.
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

  /** Adds a record in the order of appends; one that waits under the same key keeps its place. */
  private add(record: KeyedRecord): number {
    const known = this.pending.get(record.key);
    if (known === undefined) this.lastNumber += 1;
    const number = known?.number ?? this.lastNumber;
    this.pending.set(record.key, { record, number });
    return number;
  }

  private async writeAll(): Promise<void> {
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
    this.lastBatch = this.appendUntilAnswered(batch.map(({ record }) => record));
    try {
      await this.lastBatch;
      waiters.forEach(({ resolve }) => resolve());
    } catch (thrown) {
      waiters.forEach(({ reject }) => reject(thrown as Error));
    }
    this.busySinceMs = undefined;
  }

  /**
   * Takes the records of the next append, the oldest first.
   *
   * Guards against an append that no attempt ever carries to its end: what gathers while the store
   * is away may have megabytes, an append has to be repeated as it was, and on a narrow link a
   * whole one takes longer than the longest wait for an answer. It shows as `appendUnanswered`
   * without end after the store is back.
   */
  private takeBatch(): readonly NumberedRecord[] {
    const { maxAppendBytes = DEFAULT_MAX_APPEND_BYTES } = this.options;
    let sizeBytes = 0;
    const waiting = [...this.pending.values()];
    const endsAt = waiting.findIndex(({ record }) => {
      sizeBytes += record.value?.length ?? 0;
      return sizeBytes > maxAppendBytes;
    });
    const batch = endsAt < 0 ? waiting : waiting.slice(0, Math.max(1, endsAt));
    batch.forEach(({ record }) => this.pending.delete(record.key));
    return batch;
  }

  private async appendUntilAnswered(records: readonly KeyedRecord[]): Promise<void> {
    let isStored: boolean | undefined;
    while (isStored === undefined && !this.isClosed) {
      // eslint-disable-next-line no-await-in-loop -- a repeat follows the attempt before it
      isStored = await this.appendOnce(records);
      // eslint-disable-next-line no-await-in-loop -- the pause belongs between two attempts
      if (isStored === undefined) await sleep(RETRY_PAUSE_MS);
    }
    if (isStored !== true) throw this.createError('outcome-unknown');
  }

  /** Appends once; undefined means that the same append is to be repeated. */
  private async appendOnce(records: readonly KeyedRecord[]): Promise<boolean | undefined> {
    const { store, topic, partition, producer, term, clock, events } = this.options;
    const fence = { producer, term, sequence: this.sequence };
    try {
      const result = await this.timeout.run(clock, (timeoutMs) =>
        store.append({ topic, partition, records, fence, timeoutMs }),
      );
      return this.judge(result);
    } catch (thrown) {
      events.write('appendUnanswered', { topic, partition, term, reason: String(thrown) });
      return undefined;
    }
  }

  private judge(result: AppendResult): boolean | undefined {
    const { topic, partition, term, events, onFenced } = this.options;
    switch (result.type) {
      case 'appended':
        return true;
      case 'rejected':
        events.write('appendRejected', { topic, partition, term, reason: result.reason });
        return undefined;
      case 'fenced':
      case 'out-of-sequence':
      case 'end-moved':
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
    return new RattanliftError({ kind, message: `Writing ${topic} ${partition} has ended.` });
  }
}
