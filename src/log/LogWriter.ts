import { setTimeout as sleep } from 'node:timers/promises';
import { toRattanliftError } from '../errors/index.js';
import type { LogPort } from '../platform/index.js';
import {
  type LogRecord,
  logRecordSchema,
  RECORD_FORMAT_VERSION,
  type RecordBody,
} from '../records/index.js';
import type { FleetTables, VerdictRow } from '../tables/index.js';
import type { Clock } from '../utils/index.js';
import { Backoff, type BackoffOptions } from './Backoff.js';
import { findFreezeReason } from './findFreezeReason.js';
import type { LogFollower } from './LogFollower.js';
import { addClaimOffsets } from './addClaimOffsets.js';
import { PendingWrite } from './PendingWrite.js';
import { withTimeout } from './withTimeout.js';
import type { WriteResult } from './WriteResult.js';

const DEFAULT_APPEND_TIMEOUT_MS = 5_000;
const DEFAULT_BACKOFF: BackoffOptions = { firstMs: 50, longestMs: 2_000 };
const MAX_BATCH_COUNT = 200;
const MAX_BATCH_BYTES = 262_144;

/** Options of {@link LogWriter}. */
export interface LogWriterOptions {
  readonly log: LogPort;
  readonly stream: string;
  /** Applies the stream to `tables`, from which the writer reads the verdicts on its records. */
  readonly follower: LogFollower;
  readonly tables: FleetTables;
  /** Name of the writer, which each record carries. */
  readonly writer: string;
  readonly clock: Clock;
  /**
   * Creates the id of a record.
   * @returns An id that has not been used before.
   */
  readonly makeRecordId: () => string;
  /** How long an append may take before it is treated as failed, in milliseconds. */
  readonly appendWaitMs?: number;
  /** Minimum time between appends, in milliseconds; writes in between share one append. */
  readonly appendGapMs?: number;
  /** Number of appends that may be sent without a gap after an idle period. */
  readonly appendBurstCount?: number;
  readonly backoff?: BackoffOptions;
  /** Called with the duration of each successful append, in milliseconds. */
  readonly onAppended?: (tookMs: number) => void;
}

/** Limits of one write. */
export interface WriteOptions {
  /** Monotonic time after which the caller no longer needs the verdict. */
  readonly deadlineMs: number;
  /** Whether to return `not-written` at once while the log is known to be unavailable. */
  readonly failsFast?: boolean;
}

/**
 * Appends records to the log and returns their verdicts once the follower has read them back.
 *
 * An append may take effect although its response is lost. It is repeated with the same record
 * ids until the records are read back or their deadlines pass; the fold applies each id once.
 */
export class LogWriter {
  private readonly options: LogWriterOptions;

  private readonly backoff: Backoff;

  /** Writes without a verdict by record id, in the order in which they were made. */
  private readonly pending = new Map<string, PendingWrite>();

  /** Ids of the records to append or to append again, in the order of their writes. */
  private readonly unsent = new Set<string>();

  private readonly closing = new AbortController();

  private readonly removeListeners: readonly (() => void)[];

  private isAppending = false;

  private nextAppendAtMs = Number.NEGATIVE_INFINITY;

  private isUnavailable = false;

  /**
   * Creates a writer. No write gets a verdict before the follower is started.
   * @param options - Stream, follower and identity of the writer.
   */
  constructor(options: LogWriterOptions) {
    this.options = options;
    this.backoff = new Backoff(options.backoff ?? DEFAULT_BACKOFF);
    const { follower } = options;
    this.removeListeners = [
      follower.addAppliedListener((_entry, record) => {
        if (record !== undefined) this.settleIfKnown(record.recordId);
      }),
      follower.addRestoredListener(() => {
        [...this.pending.keys()].forEach((recordId) => this.settleIfKnown(recordId));
      }),
    ];
  }

  /** Whether the last append failed. */
  get isLogUnavailable(): boolean {
    return this.isUnavailable;
  }

  /**
   * Writes a record and waits until it is read back.
   * @param body - Body of the record.
   * @param options - Deadline of the write, and whether it fails fast.
   * @returns The verdict; `unknown` if the deadline passed after the record was sent; or
   * `not-written` if it was never sent.
   */
  write(body: RecordBody, options: WriteOptions): Promise<WriteResult> {
    const { clock, makeRecordId, writer } = this.options;
    const recordId = makeRecordId();
    const parsed = logRecordSchema.safeParse({
      formatVersion: RECORD_FORMAT_VERSION,
      recordId,
      writer,
      body: addClaimOffsets(this.options.tables, body),
    });
    if (!parsed.success) {
      const issue = parsed.error.issues[0]!;
      const reason = `${issue.path.join('.')}: ${issue.message}`;
      return Promise.resolve({ type: 'rejected', reason });
    }
    const { deadlineMs, failsFast = false } = options;
    const waitMs = deadlineMs - clock.monotonicMs();
    const refusal =
      this.findRefusal(waitMs, failsFast) ??
      findFreezeReason(this.options.tables, parsed.data.body);
    if (refusal !== undefined) return Promise.resolve({ type: 'not-written', reason: refusal });
    return this.enqueue(parsed.data, waitMs, failsFast);
  }

  /** Closes the writer. Pending writes end as `unknown` if they were sent, else `not-written`. */
  close(): void {
    this.closing.abort();
    this.removeListeners.forEach((remove) => remove());
    [...this.pending.values()].forEach((pending) => {
      this.removePending(pending);
      pending.giveUp('The writer was closed.');
    });
  }

  private findRefusal(waitMs: number, failsFast: boolean): string | undefined {
    if (this.closing.signal.aborted) return 'The writer is closed.';
    if (waitMs <= 0) return 'The deadline has passed.';
    return failsFast && this.isUnavailable ? 'The log does not answer.' : undefined;
  }

  private enqueue(record: LogRecord, waitMs: number, failsFast: boolean): Promise<WriteResult> {
    const onExpired = (pending: PendingWrite): void => this.expire(pending);
    const pending = new PendingWrite({ record, failsFast, waitMs, onExpired });
    this.pending.set(record.recordId, pending);
    this.unsent.add(record.recordId);
    // All writes of one event loop turn share one append.
    queueMicrotask(() => {
      void this.appendPending();
    });
    return pending.result;
  }

  private async appendPending(): Promise<void> {
    if (this.isAppending) return;
    this.isAppending = true;
    while (this.unsent.size > 0 && !this.closing.signal.aborted) {
      // eslint-disable-next-line no-await-in-loop -- records written in the meantime join the batch
      await this.waitForGap();
      // eslint-disable-next-line no-await-in-loop -- one append at a time keeps the order
      await this.appendBatch(this.takeBatch());
    }
    this.isAppending = false;
  }

  /**
   * Limits the rate of appends. Without the limit, under load each instance appends as fast as the
   * log answers, all instances together exceed the capacity of the platform's log, and lease
   * renewals wait behind claims. The gap applies on average, so a few appends after an idle period
   * are sent at once.
   */
  private async waitForGap(): Promise<void> {
    const { clock, appendGapMs = 0, appendBurstCount = 1 } = this.options;
    const creditMs = appendGapMs * (appendBurstCount - 1);
    const waitMs = this.nextAppendAtMs - creditMs - clock.monotonicMs();
    const { signal } = this.closing;
    if (waitMs > 0) await sleep(waitMs, undefined, { signal }).catch(() => undefined);
    this.nextAppendAtMs = Math.max(clock.monotonicMs(), this.nextAppendAtMs) + appendGapMs;
  }

  private takeBatch(): readonly PendingWrite[] {
    let sizeBytes = 0;
    const candidates = [...this.unsent].slice(0, MAX_BATCH_COUNT);
    const batch = candidates
      .map((recordId) => this.pending.get(recordId)!)
      .filter((pending, index) => {
        sizeBytes += pending.sizeBytes;
        return index === 0 || sizeBytes <= MAX_BATCH_BYTES;
      });
    batch.forEach((pending) => this.unsent.delete(pending.record.recordId));
    return batch;
  }

  private async appendBatch(batch: readonly PendingWrite[]): Promise<void> {
    const { appendWaitMs = DEFAULT_APPEND_TIMEOUT_MS, clock, log, stream } = this.options;
    const records = batch.map((pending) => pending.record);
    batch.forEach((pending) => pending.markSent());
    const sentAtMs = clock.monotonicMs();
    try {
      await withTimeout(log.append(stream, records), appendWaitMs);
      this.options.onAppended?.(clock.monotonicMs() - sentAtMs);
      this.isUnavailable = false;
      this.backoff.reset();
    } catch (thrown) {
      this.isUnavailable = true;
      this.requeue(batch);
      this.failFastWrites(toRattanliftError(thrown, 'log-unavailable').message);
      const { signal } = this.closing;
      await sleep(this.backoff.nextPauseMs(), undefined, { signal }).catch(() => undefined);
    }
  }

  /** Queues a failed batch ahead of later records, without records that have been read back. */
  private requeue(batch: readonly PendingWrite[]): void {
    const later = [...this.unsent];
    this.unsent.clear();
    batch
      .map((pending) => pending.record.recordId)
      .filter((recordId) => this.pending.has(recordId))
      .concat(later)
      .forEach((recordId) => this.unsent.add(recordId));
  }

  private failFastWrites(reason: string): void {
    [...this.pending.values()]
      .filter((pending) => pending.failsFast && !pending.mayBeOnLog)
      .forEach((pending) => {
        this.removePending(pending);
        pending.giveUp(reason);
      });
  }

  private settleIfKnown(recordId: string): boolean {
    const pending = this.pending.get(recordId);
    if (pending === undefined) return false;
    const row = this.options.tables.verdicts.get(recordId);
    if (row === undefined) return false;
    this.removePending(pending);
    pending.settle(LogWriter.toResult(row));
    return true;
  }

  private expire(pending: PendingWrite): void {
    if (this.settleIfKnown(pending.record.recordId)) return;
    this.removePending(pending);
    pending.giveUp('The deadline passed before the record was read back.');
  }

  private removePending(pending: PendingWrite): void {
    this.pending.delete(pending.record.recordId);
    this.unsent.delete(pending.record.recordId);
  }

  private static toResult({ offset, verdict }: VerdictRow): WriteResult {
    if (verdict.type === 'rejected') return verdict;
    const { refusedRequestIds } = verdict;
    return refusedRequestIds === undefined
      ? { type: 'accepted', offset }
      : { type: 'accepted', offset, refusedRequestIds };
  }
}
