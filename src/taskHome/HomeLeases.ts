import { type Clock, waitUntil } from '../utils/index.js';
import type { TargetSession } from './TargetSession.js';
import type { TargetSessions } from './TargetSessions.js';

/** Age up to which a renewal is fresh, in milliseconds: renewals come about once a second. */
const FRESH_LEASE_MAX_AGE_MS = 1_500;
const FRESHNESS_CHECK_MS = 5;

/** Tells whether the leases of a home's targets are being renewed. */
export class HomeLeases {
  private readonly sessions: Pick<TargetSessions, 'listTracked'>;

  private readonly clock: Clock;

  /**
   * Creates a view of the leases.
   * @param sessions - The sessions with the targets.
   * @param clock - Steady clock.
   */
  constructor(sessions: Pick<TargetSessions, 'listTracked'>, clock: Clock) {
    this.sessions = sessions;
    this.clock = clock;
  }

  /** Number of targets whose lifetime is not known to be over. */
  get targetCount(): number {
    return this.listOpen().length;
  }

  /** Number of targets that have been sent a renewal of their lease within the last moment. */
  get freshLeaseCount(): number {
    return this.listOpen().filter(({ leaseAgeMs }) => leaseAgeMs <= FRESH_LEASE_MAX_AGE_MS).length;
  }

  /**
   * Waits until every target has been sent a renewal of its lease within the last moment.
   * @param maxMs - Longest wait, in milliseconds, as some targets may be silent.
   */
  async whenLeasesFresh(maxMs: number): Promise<void> {
    const { clock } = this;
    await waitUntil(() => this.freshLeaseCount >= this.targetCount, {
      clock,
      deadlineMs: clock.monotonicMs() + maxMs,
      checkEveryMs: FRESHNESS_CHECK_MS,
    });
  }

  private listOpen(): readonly TargetSession[] {
    return this.sessions
      .listTracked()
      .map(({ session }) => session)
      .filter(({ isOver }) => !isOver);
  }
}
