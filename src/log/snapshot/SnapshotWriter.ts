import { setTimeout as sleep } from 'node:timers/promises';
import { toRattanliftError } from '../../errors/index.js';
import type { EventLog } from '../../logging/index.js';
import type { LogPort } from '../../platform/index.js';
import type { FleetTables } from '../../tables/index.js';
import type { Clock } from '../../utils/index.js';
import { Backoff, type BackoffOptions } from '../Backoff.js';
import { withTimeout } from '../withTimeout.js';
import { findLatestSnapshotEnd } from './loadLatestSnapshot.js';
import { serializeTables } from './serializeTables.js';
import { SNAPSHOT_STREAM, type SnapshotEnd, type SnapshotPart } from './SnapshotRecord.js';
import { hashParts, formatSnapshotText } from './snapshotText.js';

const DEFAULT_BACKOFF: BackoffOptions = { firstMs: 100, longestMs: 2_000 };
const APPEND_TIMEOUT_MS = 5_000;
const MAX_ATTEMPT_COUNT = 4;
const PARTS_PER_APPEND = 8;
const DEFAULT_APPEND_GAP_MS = 20;

/** Options of {@link SnapshotWriter}. */
export interface SnapshotWriterOptions {
  readonly log: LogPort;
  readonly tables: FleetTables;
  readonly clock: Clock;
  readonly events: EventLog;
  /**
   * Creates the id of a snapshot.
   * @returns An id that has not been used before.
   */
  readonly makeSnapshotId: () => string;
  /** Number of records after the latest snapshot at which the next one is due. */
  readonly recordCount: number;
  /**
   * Age of the latest snapshot at which the next one is due, in milliseconds; far less than the
   * retention of the log.
   */
  readonly longestAgeMs: number;
  /**
   * Pause between appends, in milliseconds; it leaves the append rate of the log to the claims of
   * requests.
   */
  readonly appendGapMs?: number;
  readonly backoff?: BackoffOptions;
}

/** Writes snapshots of the state before the retention removes the records that led to it. */
export class SnapshotWriter {
  private readonly options: SnapshotWriterOptions;

  private isWriting = false;

  private latest: Pick<SnapshotEnd, 'nextOffset' | 'writtenAtMs'> | undefined;

  /**
   * Creates a writer.
   * @param options - State to write, destination and schedule.
   */
  constructor(options: SnapshotWriterOptions) {
    this.options = options;
  }

  /**
   * Writes a snapshot if one is due. The instance that is responsible for snapshots calls this
   * regularly.
   *
   * Two instances may write at the same time while the responsibility moves from one to the
   * other. Each snapshot has its own id, so their parts do not mix.
   * @returns Whether a complete snapshot was written.
   */
  async writeIfDue(): Promise<boolean> {
    if (this.isWriting) return false;
    this.isWriting = true;
    try {
      if (!(await this.isDue())) return false;
      await this.write();
      return true;
    } catch (thrown) {
      // An incomplete snapshot is ignored by readers; the next call begins a new one.
      const { message } = toRattanliftError(thrown, 'log-unavailable');
      this.options.events.write('logUnreachable', { stream: SNAPSHOT_STREAM, message });
      return false;
    } finally {
      this.isWriting = false;
    }
  }

  private async isDue(): Promise<boolean> {
    const { log, tables } = this.options;
    // Other instances must not load a state that lacks records which this program cannot read.
    if (tables.frozen.size > 0 || tables.nextOffset === 0) return false;
    if (this.latest !== undefined && !this.isStale(this.latest)) return false;
    // Another instance may have written a snapshot since.
    this.latest = await findLatestSnapshotEnd(log);
    return this.latest === undefined || this.isStale(this.latest);
  }

  private isStale(latest: Pick<SnapshotEnd, 'nextOffset' | 'writtenAtMs'>): boolean {
    const { clock, longestAgeMs, recordCount, tables } = this.options;
    const ageMs = clock.wallMs() - latest.writtenAtMs;
    return tables.nextOffset - latest.nextOffset >= recordCount || Math.abs(ageMs) >= longestAgeMs;
  }

  private async write(): Promise<void> {
    const { clock, events, makeSnapshotId, tables } = this.options;
    const state = serializeTables(tables);
    const { nextOffset } = state.header;
    const snapshotId = makeSnapshotId();
    const texts = await formatSnapshotText(state);
    const parts = texts.map((text, index): SnapshotPart => ({
      type: 'snapshot-part',
      snapshotId,
      index,
      text,
    }));
    const firstPartOffset = await this.appendParts(parts);
    const writtenAtMs = clock.wallMs();
    const end: SnapshotEnd = {
      type: 'snapshot-end',
      snapshotId,
      firstPartOffset,
      partCount: parts.length,
      sha256: hashParts(texts),
      nextOffset,
      writtenAtMs,
    };
    await this.append([end]);
    this.latest = { nextOffset, writtenAtMs };
    events.write('snapshotWritten', { snapshotId, nextOffset, partCount: parts.length });
  }

  /** Appends the parts in order, a few per call, and returns the offset of the first part. */
  private async appendParts(parts: readonly SnapshotPart[]): Promise<number> {
    const firstPartOffset = await this.append(parts.slice(0, PARTS_PER_APPEND));
    const callCount = Math.ceil(parts.length / PARTS_PER_APPEND);
    const laterStarts = Array.from(
      { length: callCount - 1 },
      (_none, index) => (index + 1) * PARTS_PER_APPEND,
    );
    await laterStarts.reduce<Promise<unknown>>(async (former, start) => {
      await former;
      await sleep(this.options.appendGapMs ?? DEFAULT_APPEND_GAP_MS);
      return this.append(parts.slice(start, start + PARTS_PER_APPEND));
    }, Promise.resolve());
    return firstPartOffset;
  }

  /** Appends records with retries; duplicate parts on the stream do no harm. */
  private async append(records: readonly unknown[]): Promise<number> {
    const { log } = this.options;
    const backoff = new Backoff(this.options.backoff ?? DEFAULT_BACKOFF);
    const attempt = async (attemptsLeft: number): Promise<number> => {
      try {
        return await withTimeout(log.append(SNAPSHOT_STREAM, records), APPEND_TIMEOUT_MS);
      } catch (thrown) {
        if (attemptsLeft === 0) throw thrown;
        await sleep(backoff.nextPauseMs());
        return attempt(attemptsLeft - 1);
      }
    };
    return attempt(MAX_ATTEMPT_COUNT - 1);
  }
}
