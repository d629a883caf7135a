import { setTimeout as sleep } from 'node:timers/promises';
import { throwError, toRattanliftError } from '../errors/index.js';
import type { EventLog } from '../logging/index.js';
import type { LogEntry, LogPort, LogReadResult } from '../platform/index.js';
import type { FleetTables } from '../tables/index.js';
import type { Clock } from '../utils/index.js';
import { Backoff, type BackoffOptions } from './Backoff.js';
import { type AppliedListener, EntryApplier } from './EntryApplier.js';
import type { OffsetWaitOptions } from './OffsetWaiters.js';
import { withTimeout } from './withTimeout.js';
import { loadLatestSnapshot } from './snapshot/loadLatestSnapshot.js';
import type { RestoreResult } from './snapshot/restoreTables.js';
import type { SerializedTables } from './snapshot/SerializedTables.js';

const DEFAULT_READ_WAIT_MS = 2_000;
const DEFAULT_READ_GRACE_MS = 5_000;
const DEFAULT_BACKOFF: BackoffOptions = { firstMs: 100, longestMs: 2_000 };
const MAX_READ_COUNT = 500;
const EMPTY_READ_GAP_MS = 20;

/** Options of {@link LogFollower}. */
export interface LogFollowerOptions {
  readonly log: LogPort;
  readonly stream: string;
  /** State that only the follower modifies. */
  readonly tables: FleetTables;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly onApplied?: AppliedListener;
  /**
   * Loads the initial state, and a newer state when the log no longer keeps the next record to
   * read. The default loads the latest complete snapshot from the log.
   * @returns The state, or undefined if there is none.
   */
  readonly loadSnapshot?: () => Promise<SerializedTables | undefined>;
  /** Called after the state was replaced, so that views derived from it can be rebuilt. */
  readonly onRestored?: () => void;
  /** How long the log service may hold a read open, in milliseconds. */
  readonly readWaitMs?: number;
  /** Time beyond `readWaitMs` after which a read is treated as failed, in milliseconds. */
  readonly readGraceMs?: number;
  readonly backoff?: BackoffOptions;
}

/**
 * Reads a stream in order and applies it to the tables. Continues after outages of the log, and
 * from a snapshot when the retention has removed records that it still needs.
 */
export class LogFollower {
  private readonly options: LogFollowerOptions;

  private readonly backoff: Backoff;

  private readonly applier: EntryApplier;

  private readonly stopping = new AbortController();

  private running: Promise<void> | undefined;

  private isUnavailable = false;

  private hasLoadedAtStart = false;

  private hasMissedRecords = false;

  private reachedAtMs: number | undefined;

  /**
   * Creates a follower, which does not read before it is started.
   * @param options - Stream, state and listeners.
   */
  constructor(options: LogFollowerOptions) {
    this.options = options;
    this.backoff = new Backoff(options.backoff ?? DEFAULT_BACKOFF);
    this.applier = new EntryApplier(options);
    if (options.onApplied !== undefined) this.applier.addAppliedListener(options.onApplied);
    if (options.onRestored !== undefined) this.applier.addRestoredListener(options.onRestored);
  }

  /** Whether all records up to the end of the log that the last read reported are applied. */
  get isAtEnd(): boolean {
    return this.reachedAtMs !== undefined && this.getLagCount() === 0;
  }

  /** Whether the log no longer keeps records that this instance needs and no snapshot has them. */
  get isTruncated(): boolean {
    return this.hasMissedRecords;
  }

  /** Whether the last read failed. */
  get isLogUnavailable(): boolean {
    return this.isUnavailable;
  }

  /**
   * Monotonic time at which the last read that reached the end of the log was sent; undefined
   * before the first such read.
   *
   * If a process is frozen while a response is in flight, it finds the response in the socket when
   * it resumes. The time of receipt would make this response look current; the time of sending
   * does not.
   */
  get lastReachedAtMs(): number | undefined {
    return this.reachedAtMs;
  }

  /**
   * Counts the records that are known to be on the log and have not been applied.
   * @returns Number of records.
   */
  getLagCount(): number {
    return this.applier.getLagCount();
  }

  /** Starts reading. */
  start(): void {
    this.running ??= this.run();
  }

  /** Stops reading; pending waits end as not reached. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.applier.endWaits();
    await this.running;
  }

  /**
   * Adds a listener that is called for each applied entry.
   * @param listener - The listener.
   * @returns Function that removes the listener.
   */
  addAppliedListener(listener: AppliedListener): () => void {
    return this.applier.addAppliedListener(listener);
  }

  /**
   * Adds a listener that is called after the state was replaced by one from a snapshot or a peer.
   * @param listener - The listener.
   * @returns Function that removes the listener.
   */
  addRestoredListener(listener: () => void): () => void {
    return this.applier.addRestoredListener(listener);
  }

  /**
   * Accepts entries that a peer has read from the log, in any order, with repetitions or gaps.
   *
   * Instances push the entries that they read to each other, so that a slow reader does not lag
   * behind an accepted change. Entries after a gap are buffered until the missing ones arrive.
   * @param entries - The entries.
   */
  offer(entries: readonly LogEntry[]): void {
    this.applier.offer(entries);
  }

  /**
   * Waits until the record at an offset is applied.
   * @param offset - The offset.
   * @param options - Time limit and abort signal of the wait.
   * @returns Whether the record was applied before the wait ended.
   */
  waitForOffset(offset: number, options: OffsetWaitOptions = {}): Promise<boolean> {
    return this.applier.waitForOffset(offset, options);
  }

  /**
   * Replaces the tables with the state of a snapshot or a peer, if that state is ahead of them.
   * @param state - The state, possibly written by another program version.
   * @returns Whether the tables were replaced, and if not, why.
   */
  restore(state: unknown): RestoreResult {
    return this.applier.restore(state);
  }

  private async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      // eslint-disable-next-line no-await-in-loop -- each read begins where the last one ended
      await this.readOnce().catch((thrown: unknown) => this.handleFailure(thrown));
    }
  }

  private async readOnce(): Promise<void> {
    await this.loadAtStart();
    const { clock, log, stream, tables, readWaitMs = DEFAULT_READ_WAIT_MS } = this.options;
    const limitMs = readWaitMs + (this.options.readGraceMs ?? DEFAULT_READ_GRACE_MS);
    const fromOffset = tables.nextOffset;
    const sentAtMs = clock.monotonicMs();
    const options = { stream, fromOffset, maxCount: MAX_READ_COUNT, waitMs: readWaitMs };
    const result = await withTimeout(log.read(options), limitMs);
    if (this.stopping.signal.aborted) return;
    await this.handleResult(result, fromOffset, sentAtMs);
    this.handleSuccess();
    // Without this pause, a service that answers at once would cause a busy loop of empty reads.
    const isEmpty = result.type === 'entries' && result.entries.length === 0;
    if (isEmpty && clock.monotonicMs() - sentAtMs < EMPTY_READ_GAP_MS) {
      await this.sleepFor(EMPTY_READ_GAP_MS);
    }
  }

  private async handleResult(
    result: LogReadResult,
    fromOffset: number,
    sentAtMs: number,
  ): Promise<void> {
    if (result.type === 'truncated') {
      await this.recoverFromTruncation(result.firstOffset);
      return;
    }
    const { endOffset, entries } = result;
    if (endOffset < fromOffset) {
      throwError('log-unavailable', `The log ends at ${endOffset}, before ${fromOffset}.`);
    }
    this.applier.applyRead(entries, endOffset);
    if (this.options.tables.nextOffset >= endOffset) this.reachedAtMs = sentAtMs;
  }

  /** Loads the latest snapshot, so that a new instance does not have to read the whole log. */
  private async loadAtStart(): Promise<void> {
    if (this.hasLoadedAtStart) return;
    const state = await this.loadSnapshot();
    this.hasLoadedAtStart = true;
    if (state !== undefined) this.restore(state);
  }

  private loadSnapshot(): Promise<SerializedTables | undefined> {
    const { loadSnapshot, log } = this.options;
    return loadSnapshot === undefined ? loadLatestSnapshot(log) : loadSnapshot();
  }

  /**
   * Loads a snapshot after the retention has removed the next record to read.
   *
   * An instance that was disconnected for longer than the retention would lose accepted changes if
   * it continued from the first record kept. It continues only from a snapshot that leaves no gap,
   * and retries until there is one.
   */
  private async recoverFromTruncation(firstOffset: number): Promise<void> {
    const { events, tables } = this.options;
    const { nextOffset: neededOffset } = tables;
    const state = await this.loadSnapshot();
    if (state !== undefined) this.restore(state);
    const hadMissedRecords = this.hasMissedRecords;
    this.hasMissedRecords = tables.nextOffset < firstOffset;
    if (!this.hasMissedRecords) return;
    if (!hadMissedRecords) events.write('logTruncated', { neededOffset, firstOffset });
    const gap = `records ${tables.nextOffset} to ${firstOffset - 1}`;
    throwError('log-unavailable', `Neither the log nor a snapshot contains ${gap}.`);
  }

  private async handleFailure(thrown: unknown): Promise<void> {
    const { message } = toRattanliftError(thrown, 'log-unavailable');
    if (!this.isUnavailable) {
      this.isUnavailable = true;
      this.options.events.write('logUnreachable', { stream: this.options.stream, message });
    }
    await this.sleepFor(this.backoff.nextPauseMs());
  }

  private async sleepFor(pauseMs: number): Promise<void> {
    const { signal } = this.stopping;
    await sleep(pauseMs, undefined, { signal }).catch(() => undefined);
  }

  private handleSuccess(): void {
    this.backoff.reset();
    if (!this.isUnavailable) return;
    this.isUnavailable = false;
    this.options.events.write('logReachable', { stream: this.options.stream });
  }
}
