import { setTimeout as sleep } from 'node:timers/promises';
import type { KeyedRecord } from '../store/index.js';
import type { Clock } from '../utils/index.js';
import { decodeReadable, type DecodeReadableOptions } from './decodeReadable.js';
import type { JobTable } from './JobTable.js';
import { decodeLapseRecord, encodeLapseRecord, type LeaseLapse } from './LapseRecord.js';
import { getInheritedLeaseMs, LAPSE_MARGIN_MS, SLOWEST_TARGET_CLOCK_RATE } from './leaseBounds.js';
import type { RecordWriter } from './RecordWriter.js';
import type { TargetSession } from './TargetSession.js';
import type { TargetSessions } from './TargetSessions.js';
import type { TaskHomeTiming } from './TaskHomeTiming.js';

/** Options of {@link LeaseLapses}. */
export interface LeaseLapsesOptions extends DecodeReadableOptions {
  readonly term: number;
  readonly clock: Clock;
  /** Tells whether this home may extend leases of targets at all. */
  readonly mayExtendLeases: () => boolean;
  readonly timing: Pick<TaskHomeTiming, 'targetLeaseMs'>;
  readonly table: Pick<JobTable, 'listUsedTargets'>;
  readonly writer: Pick<RecordWriter, 'isStalled' | 'write'>;
  /** Gets the sessions with the targets, which are created after the lapses. */
  readonly getSessions: () => Pick<TargetSessions, 'getSession'>;
  /** Called when the lease of a target has ended with which there is no session. */
  readonly onLapsed: (targetId: string) => void;
}

/** Minimum time between two records, as a share of a lease; a successor may wait for it again. */
const RECORD_INTERVAL_SHARE = 0.1;
/** Longest wait for a record to be stored before a target is asked again, in milliseconds. */
const STORE_WAIT_MS = 400;
/** Share of a lease that must be over before its lapse is recorded: single calls get lost. */
const RECORD_AFTER_SHARE = 0.4;
/** Time for a target to answer a new home before its lapse is recorded, as a share of a lease. */
const FIRST_ANSWER_SHARE = 0.1;
/**
 * Share of a lease in which a target that the home before has recorded may answer first. Shorter,
 * as the next home would wait for the whole lease anew if this one were replaced before its record.
 */
const RECORDED_ANSWER_SHARE = 0.04;

/**
 * By when the leases of silent targets have certainly ended: as an earlier home has left them, and
 * as this home leaves them to the next one.
 *
 * Guards against tasks that run nowhere while each home lives for less than a lease: each would
 * count the leases of targets that it does not hear from its own claim. So a home records which
 * leases it no longer extends and when they will have ended, and the next home waits for the rest.
 * The time between two homes is not counted, as their clocks cannot be compared.
 *
 * A recorded lease is not extended until a record without it is stored: the next home would take
 * it for lapsed too early, and its tasks would run twice.
 */
export class LeaseLapses {
  private readonly options: LeaseLapsesOptions;

  private readonly claimedAtMs: number;

  /** Ends of leases as recorded by the home before, by target and the monotonic clock. */
  private inheritedLapseAtMs: ReadonlyMap<string, number> = new Map();

  /** Targets in records of this term that are or may be the latest one. */
  private recorded: ReadonlySet<string> = new Set();

  /** The latest record of this term. */
  private latest: readonly LeaseLapse[] = [];

  private recordedAtMs = Number.NEGATIVE_INFINITY;

  private isWriting = false;

  /** The latest write of a record. */
  private lastWrite: Promise<void> = Promise.resolve();

  /**
   * Begins to wait for the leases that earlier homes have extended.
   * @param options - Clock, length of the leases, and the targets with runs.
   */
  constructor(options: LeaseLapsesOptions) {
    this.options = options;
    this.claimedAtMs = options.clock.monotonicMs();
  }

  /**
   * Takes over the lapses that the home before has recorded. They count only if no other home has
   * held the partition since: that one may have extended the leases.
   * @param records - The records of the partition.
   */
  restore(records: readonly KeyedRecord[]): void {
    const [record] = decodeReadable(records, decodeLapseRecord, this.options);
    if (record?.term !== this.options.term - 1) return;
    const { recordedAtMs, lapses } = record;
    this.inheritedLapseAtMs = new Map(
      lapses.map(({ targetId, lapsedByMs }) => [
        targetId,
        this.claimedAtMs + Math.max(0, lapsedByMs - recordedAtMs) / SLOWEST_TARGET_CLOCK_RATE,
      ]),
    );
  }

  /**
   * Gets by when a lease that an earlier home extended has certainly ended.
   * @param targetId - Id of the target.
   * @returns The time by the monotonic clock.
   */
  getInheritedLapseAtMs(targetId: string): number {
    const longestMs = getInheritedLeaseMs(this.options.timing.targetLeaseMs);
    return this.inheritedLapseAtMs.get(targetId) ?? this.claimedAtMs + longestMs;
  }

  /**
   * Tells whether the lease of a target may be extended.
   * @param targetId - Id of the target.
   * @returns Whether it may, and no record tells the next home when its runs will have ended.
   */
  mayExtend(targetId: string): boolean {
    const { mayExtendLeases, table } = this.options;
    const isAwaited = this.recorded.has(targetId) && table.listUsedTargets().has(targetId);
    return mayExtendLeases() && !isAwaited;
  }

  /**
   * Tells whether a record may tell the next home when the lease of a target will have ended. A
   * task that was placed there would run on under a lease that the next home takes for lapsed.
   * @param targetId - Id of the target.
   * @returns Whether it may.
   */
  isRecorded(targetId: string): boolean {
    return this.recorded.has(targetId);
  }

  /**
   * Makes the lease of a target that has answered extendable again.
   * @param targetId - Id of the target.
   * @returns Resolves once a record without the target is stored, or after a while.
   */
  async release(targetId: string): Promise<void> {
    if (!this.recorded.has(targetId)) return;
    const released = this.lastWrite.then(() => {
      this.check();
      return this.lastWrite;
    });
    await Promise.race([released, sleep(STORE_WAIT_MS)]);
  }

  /** Reports lapsed targets without a session, and records other lapses; called on each tick. */
  check(): void {
    const nowMs = this.options.clock.monotonicMs();
    const used = this.reportLapsed(nowMs);
    const lapses = [...this.listAwaited(used, nowMs), ...this.listGivenUp(used, nowMs)];
    if (this.isRecordDue(lapses, nowMs)) this.lastWrite = this.record(lapses, nowMs);
  }

  /** Reports lapsed targets without a session; returns the targets that are used after that. */
  private reportLapsed(nowMs: number): ReadonlySet<string> {
    const { table, getSessions, onLapsed } = this.options;
    const used = table.listUsedTargets();
    const lapsed = [...used]
      .filter((targetId) => getSessions().getSession(targetId) === undefined)
      .filter((targetId) => nowMs > this.getInheritedLapseAtMs(targetId) + LAPSE_MARGIN_MS);
    lapsed.forEach((targetId) => onLapsed(targetId));
    return lapsed.length === 0 ? used : table.listUsedTargets();
  }

  private listAwaited(used: ReadonlySet<string>, nowMs: number): readonly LeaseLapse[] {
    return [...used].flatMap((targetId) => {
      const lapsedByMs = this.getAwaitedLapseMs(targetId, nowMs);
      return lapsedByMs === undefined ? [] : [{ targetId, lapsedByMs }];
    });
  }

  /**
   * Lists the recorded lapses of targets on which no runs are left. They stay for a while: the ends
   * of the runs may not be stored yet, and the next home would wait for the whole lease anew.
   */
  private listGivenUp(used: ReadonlySet<string>, nowMs: number): readonly LeaseLapse[] {
    const { timing, getSessions } = this.options;
    return this.latest
      .filter(({ targetId }) => !used.has(targetId))
      .filter(({ targetId }) => getSessions().getSession(targetId)?.isReachable !== true)
      .filter(({ lapsedByMs }) => nowMs < lapsedByMs + timing.targetLeaseMs);
  }

  private getAwaitedLapseMs(targetId: string, nowMs: number): number | undefined {
    const session = this.options.getSessions().getSession(targetId);
    if (session === undefined) return this.getInheritedLapseAtMs(targetId);
    if (session.isReachable || this.mayAnswerSoon(targetId, session, nowMs)) return undefined;
    return session.latestLapseAtMs;
  }

  /** Tells whether a silent target may yet answer, as single calls get lost now and then. */
  private mayAnswerSoon(
    targetId: string,
    { answeredAtMs, latestLapseAtMs }: TargetSession,
    nowMs: number,
  ): boolean {
    const { targetLeaseMs } = this.options.timing;
    if (answeredAtMs === undefined) {
      const isRecorded = this.inheritedLapseAtMs.has(targetId);
      const share = isRecorded ? RECORDED_ANSWER_SHARE : FIRST_ANSWER_SHARE;
      return nowMs < this.claimedAtMs + targetLeaseMs * share;
    }
    return latestLapseAtMs - nowMs > targetLeaseMs * (1 - RECORD_AFTER_SHARE);
  }

  private isRecordDue(lapses: readonly LeaseLapse[], nowMs: number): boolean {
    if (this.isWriting || this.options.writer.isStalled) return false;
    const awaited = new Set(lapses.map(({ targetId }) => targetId));
    const isAnyToExtend = [...this.recorded].some((targetId) => !awaited.has(targetId));
    if (isAnyToExtend) return true;
    const intervalMs = this.options.timing.targetLeaseMs * RECORD_INTERVAL_SHARE;
    return lapses.length > 0 && nowMs >= this.recordedAtMs + intervalMs;
  }

  private async record(lapses: readonly LeaseLapse[], recordedAtMs: number): Promise<void> {
    const { writer, term } = this.options;
    const targetIds = lapses.map(({ targetId }) => targetId);
    this.recorded = new Set([...this.recorded, ...targetIds]);
    this.latest = lapses;
    this.recordedAtMs = recordedAtMs;
    this.isWriting = true;
    try {
      await writer.write([encodeLapseRecord({ term, recordedAtMs, lapses })]);
      this.recorded = new Set(targetIds);
      this.isWriting = false;
    } catch {
      // A closed writer has logged the reason; this home records and extends nothing any more.
    }
  }
}
