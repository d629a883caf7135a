import { setTimeout as sleep } from 'node:timers/promises';
import { type EventLog, OutageLog } from '../logging/index.js';
import type { LeaseAnswer, LeasedTargetAddress, LeasedTargetPort } from '../targets/index.js';
import { assertNever, type Clock } from '../utils/index.js';
import { getGrantMs, SLOWEST_TARGET_CLOCK_RATE } from './leaseBounds.js';

/** A report of a target with the time at which it was requested. */
export interface TargetReport {
  readonly answer: Extract<LeaseAnswer, { readonly type: 'report' }>;
  /** Monotonic time at which the renewal was sent; the report may not contain later orders. */
  readonly askedAtMs: number;
  /** Whether the renewal extended the lease; the first one and those to a silent target do not. */
  readonly hasExtendedLease: boolean;
}

/** Why a session has ended. */
export type SessionEnd =
  | { readonly type: 'other-lifetime' | 'stale-term' }
  | Extract<LeaseAnswer, { readonly type: 'reborn' }>;

/** Options of {@link TargetSession}. */
export interface TargetSessionOptions {
  readonly port: Pick<LeasedTargetPort, 'renew'>;
  readonly address: LeasedTargetAddress;
  readonly term: number;
  /** Length of the lease that each renewal asks for, in milliseconds. */
  readonly leaseMs: number;
  /** Gets how long the target may delay its answer until a run ends, in milliseconds. */
  readonly getWaitMs: () => number;
  /** Tells whether renewals and starts may extend the lease; otherwise it stays as it is. */
  readonly mayExtendLease: () => boolean;
  /** Gets the time since the latest renewal was sent that the group has confirmed. */
  readonly getConfirmationAgeMs: () => number;
  /** Gets by when a lease of an earlier home has certainly ended, by the monotonic clock. */
  readonly getInheritedLapseAtMs: () => number;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Handles a report; the next renewal is sent once this has resolved. */
  readonly onReport: (report: TargetReport) => Promise<void>;
  readonly onEnd: (end: SessionEnd) => void;
}

/** Pause after an unanswered renewal, in milliseconds; allows several attempts within one lease. */
const RETRY_PAUSE_MS = 200;

/** Renews the lease of one target and passes on its reports, one renewal at a time. */
export class TargetSession {
  private readonly options: TargetSessionOptions;

  private isClosed = false;

  private acknowledgedEndNumber = 0;

  private lastAnswerAtMs: number | undefined;

  /** The reading of the target's clock that was the least out of date when it came. */
  private clockReading: { readonly targetMs: number; readonly atMs: number } | undefined;

  private leaseUntilTargetMs = 0;

  /** Latest end of a lease that an earlier home has granted before this one was first heard. */
  private earlierLeaseUntilTargetMs = 0;

  private leaseExtendedAtMs = Number.NEGATIVE_INFINITY;

  private hasAnswered = false;

  private lastReportAskedAtMs = Number.NEGATIVE_INFINITY;

  private readonly outage: OutageLog;

  /**
   * Creates a session without starting its renewals.
   * @param options - The target, the term and the length of the lease.
   */
  constructor(options: TargetSessionOptions) {
    this.options = options;
    this.outage = new OutageLog({
      events: options.events,
      lost: 'targetSilent',
      regained: 'targetHeardAgain',
    });
  }

  /** Whether the target answers under this home's term. */
  get isReachable(): boolean {
    return this.hasAnswered && !this.isClosed && !this.outage.isOut;
  }

  /** Age of the target's latest answer in milliseconds; undefined before the first. */
  get answerAgeMs(): number | undefined {
    if (this.lastAnswerAtMs === undefined) return undefined;
    return Math.round(this.options.clock.monotonicMs() - this.lastAnswerAtMs);
  }

  /** When the latest report was requested that has been handled, by the monotonic clock. */
  get latestReportAskedAtMs(): number {
    return this.lastReportAskedAtMs;
  }

  /** When the target last answered, by the monotonic clock; undefined before the first answer. */
  get answeredAtMs(): number | undefined {
    return this.lastAnswerAtMs;
  }

  /** Whether the session has ended, by itself or because it was closed. */
  get isOver(): boolean {
    return this.isClosed;
  }

  /** Age of the latest request that extends the lease, in milliseconds; infinite before it. */
  get leaseAgeMs(): number {
    return this.options.clock.monotonicMs() - this.leaseExtendedAtMs;
  }

  /**
   * Monotonic time by which everything that ran on the target has certainly been killed. Until this
   * session has extended the lease, that of an earlier home may still be valid.
   */
  get latestLapseAtMs(): number {
    const { clockReading, leaseUntilTargetMs, earlierLeaseUntilTargetMs, leaseExtendedAtMs } = this;
    const hasExtended = leaseExtendedAtMs > Number.NEGATIVE_INFINITY;
    if (clockReading === undefined || !hasExtended) return this.options.getInheritedLapseAtMs();
    const untilTargetMs = Math.max(leaseUntilTargetMs, earlierLeaseUntilTargetMs);
    const remainingMs = untilTargetMs - clockReading.targetMs;
    return clockReading.atMs + Math.max(0, remainingMs) / SLOWEST_TARGET_CLOCK_RATE;
  }

  /** Renews the lease until the session is closed or ends by itself. */
  start(): void {
    void this.run();
  }

  /** Ends the session; the target keeps its lease until that lapses. */
  close(): void {
    this.isClosed = true;
  }

  /**
   * Lets the target discard ends of runs, with the next renewal.
   * @param endNumber - Ends up to this number are stored.
   */
  acknowledge(endNumber: number): void {
    this.acknowledgedEndNumber = Math.max(this.acknowledgedEndNumber, endNumber);
  }

  /**
   * Records the reading of the target's clock from an answer.
   *
   * An answer that is read late, as this process was paused or busy, tells less than an
   * earlier one: counted from its reading, each lease would be shorter by the delay.
   * @param targetMs - Reading of the target's clock.
   */
  noteClock(targetMs: number): void {
    const nowMs = this.options.clock.monotonicMs();
    this.lastAnswerAtMs = nowMs;
    // From its first answer on, the target refuses what earlier homes ask for.
    if (this.clockReading === undefined) {
      this.earlierLeaseUntilTargetMs = targetMs + this.options.leaseMs;
    }
    if (targetMs >= this.getEarliestTargetMs(nowMs)) this.clockReading = { targetMs, atMs: nowMs };
  }

  /**
   * Extends the lease that renewals and starts ask for, if it may be extended. It ends a lease from
   * now, but not later than this home's own right to the target can have lasted.
   * @returns Its end on the target's clock, in milliseconds.
   */
  extendLease(): number {
    const { clockReading } = this;
    const { clock, leaseMs, getConfirmationAgeMs, mayExtendLease } = this.options;
    if (clockReading === undefined || !mayExtendLease()) return this.leaseUntilTargetMs;
    const nowMs = clock.monotonicMs();
    const grantMs = getGrantMs(leaseMs, getConfirmationAgeMs());
    // The next home counts on leases of their length: a slow clock may not make them any longer.
    const untilMs = Math.floor(this.getEarliestTargetMs(nowMs) + grantMs);
    this.leaseUntilTargetMs = Math.max(this.leaseUntilTargetMs, untilMs);
    this.leaseExtendedAtMs = nowMs;
    return this.leaseUntilTargetMs;
  }

  /** Gets what the target's clock shows at least, by the readings so far. */
  private getEarliestTargetMs(nowMs: number): number {
    const { clockReading } = this;
    if (clockReading === undefined) return Number.NEGATIVE_INFINITY;
    return clockReading.targetMs + (nowMs - clockReading.atMs) * SLOWEST_TARGET_CLOCK_RATE;
  }

  private async run(): Promise<void> {
    while (!this.isClosed) {
      // eslint-disable-next-line no-await-in-loop -- one renewal follows the other
      await this.renew();
    }
  }

  private async renew(): Promise<void> {
    const { port, address, term, getWaitMs, clock } = this.options;
    const askedAtMs = clock.monotonicMs();
    // The first renewal only raises the term and reads the clock on which the lease is counted.
    // While the target is silent, renewals do not extend its lease either: an unanswered renewal
    // may still take effect, so the lease would never be certain to have lapsed, and the target's
    // tasks would never run again.
    const isUnknown = this.clockReading === undefined || this.outage.isOut;
    const isProbe = isUnknown || !this.options.mayExtendLease();
    try {
      const answer = await port.renew(address, {
        term,
        // After a call without an answer, another lifetime may number its ends anew.
        acknowledgedEndNumber: isUnknown ? 0 : this.acknowledgedEndNumber,
        leaseUntilTargetMs: isProbe ? undefined : this.extendLease(),
        waitMs: isProbe ? 0 : getWaitMs(),
      });
      const renewal = { askedAtMs, hasExtendedLease: !isProbe };
      if (!this.isClosed) await this.handleAnswer(answer, renewal);
    } catch (thrown) {
      const { targetId } = address;
      this.outage.noteFailure({ targetId, term, reason: String(thrown) });
      await sleep(RETRY_PAUSE_MS);
    }
  }

  private async handleAnswer(
    answer: LeaseAnswer,
    renewal: Omit<TargetReport, 'answer'>,
  ): Promise<void> {
    const { term, address } = this.options;
    const { targetId } = address;
    switch (answer.type) {
      case 'report':
        this.noteClock(answer.targetClockMs);
        this.hasAnswered = true;
        this.outage.noteSuccess({ targetId, term });
        await this.options.onReport({ ...renewal, answer });
        this.lastReportAskedAtMs = renewal.askedAtMs;
        if (!this.options.mayExtendLease()) await sleep(RETRY_PAUSE_MS);
        return;
      case 'unhealthy':
        this.outage.noteFailure({ targetId, term, reason: answer.type });
        await sleep(RETRY_PAUSE_MS);
        return;
      case 'stale-term':
      case 'other-lifetime':
      case 'reborn':
        this.close();
        this.options.onEnd(answer);
        return;
      default:
        assertNever(answer);
    }
  }
}
