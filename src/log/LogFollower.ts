import { setTimeout as sleep } from 'node:timers/promises';
import { throwError, toRattanliftError } from '../errors/index.js';
import type { EventLog } from '../logging/index.js';
import type { LogEntry, LogPort, LogReadResult } from '../platform/index.js';
import type { FleetTables } from '../tables/index.js';
import type { Clock } from '../utils/index.js';
import { Backoff, type BackoffOptions } from './Backoff.js';
import { type AppliedListener, EntryApplier } from './EntryApplier.js';
import type { OffsetWaitOptions } from './OffsetWaiters.js';
import { raceTimeout } from './raceTimeout.js';
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
  /** State that the follower alone changes. */
  readonly tables: FleetTables;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly onApplied?: AppliedListener;
  /**
   * Loads a state to begin with, and one to go on from when the log no longer keeps what is to be
   * read next; without it, the latest whole snapshot on the log.
   * @returns The state, or undefined where there is none.
   */
  readonly loadSnapshot?: () => Promise<SerializedTables | undefined>;
  /** Called after a snapshot has replaced the state, so that views of it can be built anew. */
  readonly onRestored?: () => void;
  /** How long the service may hold a read open, in milliseconds. */
  readonly readWaitMs?: number;
  /** How much longer a read may take before it counts as failed, in milliseconds. */
  readonly readGraceMs?: number;
  readonly backoff?: BackoffOptions;
}

/** Reads a stream in order and applies it to the tables, through outages and retention. */
export class LogFollower {
  private readonly options: LogFollowerOptions;

  private readonly backoff: Backoff;

  private readonly applier: EntryApplier;

  private readonly stopping = new AbortController();

  private running: Promise<void> | undefined;

  private isOut = false;

  private hasLoadedAtStart = false;

  private isCutOff = false;

  private reachedAtMs: number | undefined;

  /**
   * Creates a follower, which reads nothing before it is started.
   * @param options - Stream, state and whom to tell.
   */
  constructor(options: LogFollowerOptions) {
    this.options = options;
    this.backoff = new Backoff(options.backoff ?? DEFAULT_BACKOFF);
    this.applier = new EntryApplier(options);
    if (options.onApplied !== undefined) this.applier.addAppliedListener(options.onApplied);
    if (options.onRestored !== undefined) this.applier.addRestoredListener(options.onRestored);
  }

  /** Whether the state holds every record that the last answer of the log knew of. */
  get isAtEnd(): boolean {
    return this.reachedAtMs !== undefined && this.getLagCount() === 0;
  }

  /** Whether records are lost to this instance until there is a snapshot that holds them. */
  get isTruncated(): boolean {
    return this.isCutOff;
  }

  /** Whether the last read failed. */
  get isLogOut(): boolean {
    return this.isOut;
  }

  /**
   * Monotonic time at which the last read that reached the end of the log was sent; undefined
   * before the first one.
   *
   * A process that freezes while an answer is on its way finds it in the socket after it thaws.
   * The time of receipt would make that answer look fresh, the time of sending cannot.
   */
  get lastReachedAtMs(): number | undefined {
    return this.reachedAtMs;
  }

  /**
   * Counts the records that stand on the log, as far as is known, and are not applied.
   * @returns Count of records.
   */
  getLagCount(): number {
    return this.applier.getLagCount();
  }

  /** Begins to read. */
  start(): void {
    this.running ??= this.run();
  }

  /** Ends reading; waits that are under way end as not reached. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.applier.endWaits();
    await this.running;
  }

  /**
   * Adds a listener to each applied entry.
   * @param listener - The listener.
   * @returns Removes it again.
   */
  addAppliedListener(listener: AppliedListener): () => void {
    return this.applier.addAppliedListener(listener);
  }

  /**
   * Adds a listener to the replacement of the state by a snapshot.
   * @param listener - The listener.
   * @returns Removes it again.
   */
  addRestoredListener(listener: () => void): () => void {
    return this.applier.addRestoredListener(listener);
  }

  /**
   * Takes entries that a peer has read from the log: in any order, repeated or with gaps.
   *
   * One slow reader must not lag behind an accepted change, so those who read it push it on.
   * Entries are applied only without a gap; those ahead of one wait for the missing ones.
   * @param entries - The entries.
   */
  offer(entries: readonly LogEntry[]): void {
    this.applier.offer(entries);
  }

  /**
   * Waits until the record at an offset is applied.
   * @param offset - The offset.
   * @param options - Limits of the wait.
   * @returns Whether it was applied before the limits ended the wait.
   */
  waitForOffset(offset: number, options: OffsetWaitOptions = {}): Promise<boolean> {
    return this.applier.waitForOffset(offset, options);
  }

  /**
   * Goes on from a state that a snapshot or a peer holds, if it is ahead of what is applied.
   * @param state - The state, possibly written by another program version.
   * @returns Whether the tables were replaced, and why not.
   */
  restore(state: unknown): RestoreResult {
    return this.applier.restore(state);
  }

  private async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      // eslint-disable-next-line no-await-in-loop -- each read begins where the last one ended
      await this.readOnce().catch((thrown: unknown) => this.pause(thrown));
    }
  }

  private async readOnce(): Promise<void> {
    await this.loadAtStart();
    const { clock, log, stream, tables, readWaitMs = DEFAULT_READ_WAIT_MS } = this.options;
    const limitMs = readWaitMs + (this.options.readGraceMs ?? DEFAULT_READ_GRACE_MS);
    const fromOffset = tables.nextOffset;
    const sentAtMs = clock.monotonicMs();
    const options = { stream, fromOffset, maxCount: MAX_READ_COUNT, waitMs: readWaitMs };
    const result = await raceTimeout(log.read(options), limitMs);
    if (this.stopping.signal.aborted) return;
    await this.takeResult(result, fromOffset, sentAtMs);
    this.noteReachable();
    // A service that answers without waiting would turn the loop into a flood of empty reads.
    const isEmpty = result.type === 'entries' && result.entries.length === 0;
    if (isEmpty && clock.monotonicMs() - sentAtMs < EMPTY_READ_GAP_MS) {
      await this.sleepFor(EMPTY_READ_GAP_MS);
    }
  }

  private async takeResult(
    result: LogReadResult,
    fromOffset: number,
    sentAtMs: number,
  ): Promise<void> {
    if (result.type === 'truncated') {
      await this.loadAhead(result.firstOffset);
      return;
    }
    const { endOffset, entries } = result;
    if (endOffset < fromOffset) {
      throwError('log-unavailable', `The log ends at ${endOffset}, before ${fromOffset}.`);
    }
    this.applier.applyRead(entries, endOffset);
    if (this.options.tables.nextOffset >= endOffset) this.reachedAtMs = sentAtMs;
  }

  /** Begins from the latest snapshot, so that a new instance need not read the whole log. */
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
   * Loads a snapshot after the retention has passed what was to be read next.
   *
   * An instance that was away for longer than the log keeps records would lose accepted changes
   * if it read on from the first one kept. It goes on only from a snapshot that leaves no gap,
   * and tries again until there is one.
   */
  private async loadAhead(firstOffset: number): Promise<void> {
    const { events, tables } = this.options;
    const { nextOffset: neededOffset } = tables;
    const state = await this.loadSnapshot();
    if (state !== undefined) this.restore(state);
    const wasCutOff = this.isCutOff;
    this.isCutOff = tables.nextOffset < firstOffset;
    if (!this.isCutOff) return;
    if (!wasCutOff) events.write('logTruncated', { neededOffset, firstOffset });
    const gap = `records ${tables.nextOffset} to ${firstOffset - 1}`;
    throwError('log-unavailable', `The log keeps no ${gap} any more, nor does a snapshot.`);
  }

  private async pause(thrown: unknown): Promise<void> {
    const { message } = toRattanliftError(thrown, 'log-unavailable');
    if (!this.isOut) {
      this.isOut = true;
      this.options.events.write('logUnreachable', { stream: this.options.stream, message });
    }
    await this.sleepFor(this.backoff.take());
  }

  private async sleepFor(pauseMs: number): Promise<void> {
    const { signal } = this.stopping;
    await sleep(pauseMs, undefined, { signal }).catch(() => undefined);
  }

  private noteReachable(): void {
    this.backoff.reset();
    if (!this.isOut) return;
    this.isOut = false;
    this.options.events.write('logReachable', { stream: this.options.stream });
  }
}
