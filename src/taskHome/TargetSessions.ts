import type { Resources } from '../jobs/index.js';
import { hasLessCapacity, type PlacementTarget } from '../systems/index.js';
import type { EndedTaskReport, LeasedTargetAddress } from '../targets/index.js';
import { assertNever } from '../utils/index.js';
import { LapsedStarts } from './LapsedStarts.js';
import { LAPSE_MARGIN_MS } from './leaseBounds.js';
import { ReplacedLifetimes } from './ReplacedLifetimes.js';
import type { RunKey } from './RunKey.js';
import type { TargetEntry } from './TargetEntry.js';
import { type SessionEnd, TargetSession } from './TargetSession.js';
import type { TargetSessionsOptions } from './TargetSessionsOptions.js';
import type { TrackedTarget } from './TrackedTarget.js';

/** Why nothing runs on a target any more; after a lapse, the same lifetime may come back. */
export type TargetLossReason = 'other-lifetime' | 'crashed' | 'unlisted' | 'lapsed';

/** Time within which a new home has found the targets that existed before it, in milliseconds. */
const INITIAL_DISCOVERY_MS = 1_000;
/** Age up to which a target has just started, in milliseconds; a faulty one crashes every few s. */
const JUST_STARTED_MS = 10_000;

/** The targets of one home: a session with each, and its latest entry in the platform. */
export class TargetSessions {
  private readonly options: TargetSessionsOptions;

  private readonly tracked = new Map<string, TrackedTarget>();

  private readonly ended = new Set<string>();

  private readonly replaced: ReplacedLifetimes;

  private readonly lapsedStarts: LapsedStarts;

  private readonly openedAtMs: number;

  /**
   * Starts without targets.
   * @param options - The source of targets, and callbacks for their reports.
   */
  constructor(options: TargetSessionsOptions) {
    this.options = options;
    this.lapsedStarts = new LapsedStarts(options);
    this.replaced = new ReplacedLifetimes({
      ...options,
      tracked: this.tracked,
      lapsedStarts: this.lapsedStarts,
      onReplaced: (targetId) => options.onGone(targetId, 'other-lifetime'),
    });
    this.openedAtMs = options.clock.monotonicMs();
  }

  /** Opens sessions with new targets, and reports those whose leases have certainly lapsed. */
  sync(): void {
    const entries = this.options.getEntries();
    entries.forEach((entry) => this.update(entry));
    this.replaced.check();
    const nowMs = this.options.clock.monotonicMs();
    [...this.tracked].forEach(([targetId, target]) => {
      Object.assign(target, { isListed: entries.has(targetId) });
      if (this.isToGiveUp(target, nowMs)) this.options.onGone(targetId, 'lapsed');
    });
  }

  /**
   * Lists the targets that there is a session with.
   * @returns The targets.
   */
  listTracked(): readonly TrackedTarget[] {
    return [...this.tracked.values()];
  }

  /**
   * Lists the targets that have announced that they leave.
   * @returns Their ids.
   */
  listDraining(): readonly string[] {
    return [...this.tracked.values()]
      .filter(({ entry }) => entry.isDraining)
      .map(({ entry }) => entry.targetId);
  }

  /**
   * Tells whether a target has announced that it leaves.
   * @param targetId - Id of the target.
   * @returns Whether it has.
   */
  isDraining(targetId: string): boolean {
    return this.tracked.get(targetId)?.entry.isDraining === true;
  }

  /**
   * Gets the total capacity of a target, as last reported.
   * @param targetId - Id of the target.
   * @returns Its capacity, or undefined if the target is not known.
   */
  getCapacity(targetId: string): Resources | undefined {
    return this.tracked.get(targetId)?.entry.capacity;
  }

  /**
   * Tells whether a target had more capacity earlier in its lifetime, so that the runs placed there
   * may not fit any more.
   * @param targetId - Id of the target.
   * @returns Whether its capacity is known to have shrunk.
   */
  hasShrunk(targetId: string): boolean {
    return this.tracked.get(targetId)?.hasShrunk === true;
  }

  /**
   * Tells whether a target has started a short while ago. It may be one that crashes repeatedly,
   * whatever it runs.
   * @param targetId - Id of the target.
   * @returns Whether it has; false for targets that existed when this home opened.
   */
  hasJustStarted(targetId: string): boolean {
    const { appearedAtMs = -Infinity } = this.tracked.get(targetId) ?? {};
    if (appearedAtMs < this.openedAtMs + INITIAL_DISCOVERY_MS) return false;
    return this.options.clock.monotonicMs() - appearedAtMs < JUST_STARTED_MS;
  }

  /**
   * Gets the address of a target.
   * @param targetId - Id of the target.
   * @returns The address, or undefined if the target is not known.
   */
  getAddress(targetId: string): LeasedTargetAddress | undefined {
    return this.tracked.get(targetId)?.entry;
  }

  /**
   * Tells how old the latest answer of a target is.
   * @param targetId - Id of the target.
   * @returns The age in milliseconds, or undefined if the target has not answered yet.
   */
  getAnswerAgeMs(targetId: string): number | undefined {
    return this.tracked.get(targetId)?.session.answerAgeMs;
  }

  /**
   * Tells when a target last answered.
   * @param targetId - Id of the target.
   * @returns The time by the monotonic clock, or undefined if the target has not answered yet.
   */
  getAnsweredAtMs(targetId: string): number | undefined {
    return this.tracked.get(targetId)?.session.answeredAtMs;
  }

  /**
   * Gets the session with a target.
   * @param targetId - Id of the target.
   * @returns The session, or undefined if the target is not known.
   */
  getSession(targetId: string): TargetSession | undefined {
    return this.tracked.get(targetId)?.session;
  }

  /**
   * Extends a target's lease for an order that carries it.
   * @param targetId - Id of the target.
   * @returns The end on the target's own clock, in milliseconds.
   */
  extendLease(targetId: string): number {
    return this.tracked.get(targetId)?.session.extendLease() ?? 0;
  }

  /**
   * Records the reading of a target's clock from an answer.
   * @param targetId - Id of the target.
   * @param targetClockMs - Reading of its clock.
   */
  noteClock(targetId: string, targetClockMs: number): void {
    this.tracked.get(targetId)?.session.noteClock(targetClockMs);
  }

  /**
   * Selects the ends of runs that were not taken before; a target repeats them until they are
   * acknowledged.
   * @param targetId - Id of the target.
   * @param ended - Ends of a report.
   * @returns The new ones, in order.
   */
  takeNewEnds(targetId: string, ended: readonly EndedTaskReport[]): readonly EndedTaskReport[] {
    const target = this.tracked.get(targetId);
    if (target === undefined) return [];
    const newEnds = ended
      .filter(({ endNumber }) => endNumber > target.takenEndNumber)
      .toSorted((a, b) => a.endNumber - b.endNumber);
    target.takenEndNumber = newEnds.at(-1)?.endNumber ?? target.takenEndNumber;
    return newEnds;
  }

  /**
   * Lets a target discard ends of runs that are stored.
   * @param targetId - Id of the target.
   * @param endNumber - Number of the last one.
   */
  acknowledge(targetId: string, endNumber: number): void {
    this.tracked.get(targetId)?.session.acknowledge(endNumber);
  }

  /**
   * Lists the targets for a round of placement.
   * @param isAvoided - Tells whether a target is to be left out for a while.
   * @returns The targets; one that drains or does not answer takes no tasks. One that the platform
   * does not list takes tasks if it answers, as it may have lost its entry in an outage of the
   * store.
   */
  listForPlacement(isAvoided: (targetId: string) => boolean): readonly PlacementTarget[] {
    const { lapses } = this.options;
    const isHeldBack = (targetId: string): boolean =>
      this.lapsedStarts.has(targetId) || lapses.isRecorded(targetId);
    const mayTake = (targetId: string): boolean => !isAvoided(targetId) && !isHeldBack(targetId);
    return [...this.tracked.values()].map(({ entry, session }) => ({
      targetId: entry.targetId,
      pool: entry.pool,
      rack: entry.rack,
      labels: entry.labels,
      capacity: entry.capacity,
      hasJustStarted: this.hasJustStarted(entry.targetId),
      takesTasks: !entry.isDraining && session.isReachable && mayTake(entry.targetId),
    }));
  }

  /**
   * Ends the session with a target whose lifetime is over.
   * @param targetId - Id of the target.
   */
  remove(targetId: string): void {
    this.end(targetId);
    this.ended.add(targetId);
    this.lapsedStarts.forget(targetId);
  }

  /**
   * Takes note that the runs on a target are given up, as its lease has lapsed. The session goes on
   * for as long as the target is listed; otherwise it ends until the same lifetime is back.
   * @param targetId - Id of the target.
   * @param openStarts - Runs of which a start has no answer.
   */
  suspend(targetId: string, openStarts: readonly RunKey[]): void {
    if (this.tracked.get(targetId)?.isListed !== true) this.end(targetId);
    this.lapsedStarts.add(targetId, openStarts);
  }

  /**
   * Ends the wait for a target that was lost by a lapse, as its lifetime is over.
   * @param targetId - Id of the target.
   */
  forgetLapse(targetId: string): void {
    if (this.lapsedStarts.has(targetId)) this.remove(targetId);
  }

  /** Ends every session; the targets keep their leases until these lapse. */
  close(): void {
    this.tracked.forEach(({ session }) => session.close());
  }

  /**
   * Tells whether a target is to be given up: it is silent, and its lease is over even by the
   * slowest clock, so nothing runs there any more. Silence alone proves nothing, as a target that
   * is cut off or leaves runs on until then.
   *
   * A target that is still listed loses its runs like any other. It may stay listed for as long as
   * only this home cannot reach it, and its tasks would run nowhere meanwhile.
   */
  private isToGiveUp({ entry, session, isListed }: TrackedTarget, nowMs: number): boolean {
    if (session.isReachable || (isListed && !this.options.hasRuns(entry.targetId))) return false;
    return nowMs > session.latestLapseAtMs + LAPSE_MARGIN_MS;
  }

  private end(targetId: string): void {
    this.tracked.get(targetId)?.session.close();
    this.tracked.delete(targetId);
    this.options.targets.forget(targetId);
  }

  private update(entry: TargetEntry): void {
    const target = this.tracked.get(entry.targetId);
    if (target === undefined) {
      if (!this.ended.has(entry.targetId)) this.open(entry);
      return;
    }
    const { events, term } = this.options;
    if (entry.isDraining && !target.entry.isDraining) {
      events.write('targetDraining', { targetId: entry.targetId, pool: entry.pool, term });
    }
    target.hasShrunk ||= hasLessCapacity(entry.capacity, target.entry.capacity);
    target.entry = entry;
  }

  private handleEnd(entry: TargetEntry, end: SessionEnd): void {
    const { onGone, onStaleTerm } = this.options;
    switch (end.type) {
      case 'stale-term':
        onStaleTerm();
        return;
      case 'other-lifetime':
        onGone(entry.targetId, end.type);
        return;
      case 'reborn':
        // The platform may list the next lifetime much later, and it may have runs of this one.
        this.update({ ...entry, targetId: end.targetId });
        return;
      default:
        assertNever(end);
    }
  }

  private open(entry: TargetEntry): void {
    const { targets, term, timing, getTargetWaitMs, clock, events, lapses } = this.options;
    const { onReport } = this.options;
    const { targetId, pool, rack } = entry;
    this.replaced.closeEarlier(targetId);
    const session = new TargetSession({
      port: targets,
      address: entry,
      term,
      leaseMs: timing.targetLeaseMs,
      getWaitMs: getTargetWaitMs,
      clock,
      events,
      mayExtendLease: () => lapses.mayExtend(targetId) && !this.lapsedStarts.has(targetId),
      getConfirmationAgeMs: this.options.getConfirmationAgeMs,
      getInheritedLapseAtMs: () => lapses.getInheritedLapseAtMs(targetId),
      onReport: async (report) => {
        await onReport(targetId, report);
        await Promise.all([this.lapsedStarts.stopOn(entry), lapses.release(targetId)]);
      },
      onEnd: (end) => this.handleEnd(entry, end),
    });
    this.tracked.set(targetId, {
      session,
      entry,
      isListed: true,
      appearedAtMs: clock.monotonicMs(),
      hasShrunk: false,
      takenEndNumber: 0,
    });
    events.write('targetAppeared', { targetId, pool, rack, term, ...entry.capacity });
    session.start();
  }
}
