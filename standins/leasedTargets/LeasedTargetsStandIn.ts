import { setTimeout as sleep } from 'node:timers/promises';
import type {
  LeaseAnswer,
  LeasedTargetAddress,
  LeasedTargetPort,
  LeaseRenewal,
  CommandAnswer,
  StartAnswer,
  StartRefusal,
  TaskStart,
} from '../../src/targets/index.js';
import { type Clock, SystemClock } from '../../src/utils/index.js';
import { LateCalls } from './LateCalls.js';
import { LeasedTarget } from './LeasedTarget.js';
import { type LeasedTargetFaults, NO_FAULTS } from './LeasedTargetFaults.js';

/** A run that has begun on a target. */
export interface BegunRun {
  readonly targetId: string;
  readonly taskName: string;
  readonly run: number;
}

/** Time that a renewal with nothing to tell is held back by default, in milliseconds. */
const HELD_BACK_MS = 5;

/** Stands in for leased targets, and watches that no task runs twice at a time. */
export class LeasedTargetsStandIn implements LeasedTargetPort {
  /** Runs that have begun, in order. */
  readonly begun: BegunRun[] = [];

  /** Names of the tasks that were to be stopped, in order. */
  readonly stops: string[] = [];

  /** Names of the tasks that crash each target that starts them. */
  readonly crashingTasks = new Set<string>();

  /** Longest time that a renewal is held back, where it asks for as much, in milliseconds. */
  longestHoldMs = HELD_BACK_MS;

  /** Called with the id of a lifetime that a task has crashed. */
  onCrash: ((targetId: string) => void) | undefined;

  /** Tasks that ran twice at the same time, or again after an acknowledged end. */
  readonly violations: string[] = [];

  /** Clock of the targets. */
  readonly clock: Clock;

  private readonly targets = new Map<string, LeasedTarget>();

  private readonly faults = new Map<string, LeasedTargetFaults>();

  private readonly lateStarts = new LateCalls();

  private readonly lateStops = new LateCalls();

  private readonly lateReports = new LateCalls();

  /** Runs of which a first start was held up, by target, task, run and term. */
  private readonly heldRuns = new Set<string>();

  /** Tasks that were done on targets whose lifetime is over. */
  private readonly done = new Set<string>();

  /**
   * Creates the stand-in without targets.
   * @param clock - Clock of the targets.
   */
  constructor(clock: Clock = new SystemClock()) {
    this.clock = clock;
  }

  /**
   * Adds a target, or starts a lifetime of it anew.
   * @param targetId - Id of the lifetime.
   * @returns The target.
   */
  add(targetId: string): LeasedTarget {
    const target = new LeasedTarget(this.clock);
    this.targets.set(targetId, target);
    this.faults.set(targetId, { ...NO_FAULTS });
    return target;
  }

  /**
   * Ends the lifetime of a target; its address belongs to another one.
   * @param targetId - Id of the lifetime.
   */
  remove(targetId: string): void {
    this.targets.get(targetId)?.doneNames.forEach((taskName) => this.done.add(taskName));
    this.targets.delete(targetId);
  }

  /**
   * Crashes a target: nothing runs there any more, no call is answered, and the ends that nobody
   * has acknowledged are lost, so that their tasks may begin again.
   * @param targetId - Id of the lifetime.
   */
  crash(targetId: string): void {
    const kept = this.targets.get(targetId)?.acknowledgedDoneNames ?? [];
    kept.forEach((taskName) => this.done.add(taskName));
    this.targets.delete(targetId);
    this.setFaults(targetId, { isCutOff: true });
    this.onCrash?.(targetId);
  }

  /**
   * Gets a target.
   * @param targetId - Id of the lifetime.
   * @returns The target.
   */
  get(targetId: string): LeasedTarget {
    return this.targets.get(targetId)!;
  }

  /**
   * Changes what goes wrong at a target.
   * @param targetId - Id of the lifetime.
   * @param faults - The faults that change.
   */
  setFaults(targetId: string, faults: Partial<LeasedTargetFaults>): void {
    Object.assign(this.faults.get(targetId)!, faults);
  }

  /**
   * Carries out starts that were held up. Each is judged now, by term, run and lease; one whose
   * lifetime is over has no effect.
   * @param targetId - Id of the lifetime that has received them; all where it is absent.
   */
  applyLateStarts(targetId?: string): void {
    this.lateStarts.release(targetId);
  }

  /**
   * Carries out stops that were held up. Each is judged now; one whose lifetime is over has no
   * effect.
   * @param targetId - Id of the lifetime that has received them; all where it is absent.
   */
  applyLateStops(targetId?: string): void {
    this.lateStops.release(targetId);
  }

  /**
   * Delivers reports that were held up.
   * @param targetId - Id of the lifetime that has made them; all where it is absent.
   */
  deliverLateReports(targetId?: string): void {
    this.lateReports.release(targetId);
  }

  /**
   * Counts the starts that are held up.
   * @param targetId - Id of the lifetime that has received them.
   * @returns How many there are.
   */
  countLateStarts(targetId: string): number {
    return this.lateStarts.countAt(targetId);
  }

  /**
   * Counts the stops that are held up.
   * @param targetId - Id of the lifetime that has received them.
   * @returns How many there are.
   */
  countLateStops(targetId: string): number {
    return this.lateStops.countAt(targetId);
  }

  /**
   * Counts the reports that are held up.
   * @param targetId - Id of the lifetime that has made them.
   * @returns How many there are.
   */
  countLateReports(targetId: string): number {
    return this.lateReports.countAt(targetId);
  }

  /**
   * Ends a task wherever it runs.
   * @param taskName - Name of the task.
   * @param end - How it ends.
   */
  finish(taskName: string, end: 'done' | 'failed'): void {
    const target = [...this.targets.values()].find(({ runningNames }) =>
      runningNames.includes(taskName),
    );
    target!.end(taskName, end);
  }

  /**
   * Lists what runs at this moment.
   * @returns Names of the tasks.
   */
  listRunning(): readonly string[] {
    return [...this.targets.values()].flatMap(({ runningNames }) => runningNames);
  }

  /** {@inheritDoc LeasedTargetPort.start} */
  async start({ targetId }: LeasedTargetAddress, start: TaskStart): Promise<StartAnswer> {
    this.throwIfCutOff(targetId);
    if (!this.targets.has(targetId)) return { type: 'other-lifetime' };
    if (this.isUnhealthy(targetId)) return { type: 'refused', reason: 'unhealthy' };
    const { delaysStarts, losesStartAnswers, refusesStarts } = this.faults.get(targetId)!;
    if (delaysStarts) return this.delayStart(targetId, start);
    if (this.isStartLate(targetId, start)) {
      this.lateStarts.hold(targetId, () => this.beginLate(targetId, start));
      throw new Error('The start was not answered.');
    }
    const answer = this.begin(targetId, start, refusesStarts);
    if (losesStartAnswers) throw new Error('The start was not answered.');
    return answer;
  }

  /** {@inheritDoc LeasedTargetPort.stop} */
  async stop(
    { targetId }: LeasedTargetAddress,
    taskName: string,
    run: number,
    term: number,
  ): Promise<CommandAnswer> {
    this.throwIfCutOff(targetId);
    if (this.isUnhealthy(targetId)) return { type: 'refused', reason: 'unhealthy' };
    this.stops.push(taskName);
    const { losesStops, appliesStopsLate, stopsSlowly } = this.faults.get(targetId) ?? NO_FAULTS;
    if (losesStops) throw new Error('The stop was not answered.');
    const target = this.targets.get(targetId);
    const stopLate = (): void => {
      this.targets.get(targetId)?.stop(taskName, run, term);
    };
    if (appliesStopsLate) {
      this.lateStops.hold(targetId, stopLate);
      throw new Error('The stop was not answered.');
    }
    if (stopsSlowly && target?.isRunning(taskName, run) === true) {
      this.lateStops.hold(targetId, stopLate);
      return { type: 'accepted' };
    }
    return target?.stop(taskName, run, term) ?? { type: 'other-lifetime' };
  }

  /** {@inheritDoc LeasedTargetPort.pace} */
  async pace({ targetId }: LeasedTargetAddress): Promise<CommandAnswer> {
    this.throwIfCutOff(targetId);
    return { type: 'accepted' };
  }

  /** {@inheritDoc LeasedTargetPort.renew} */
  async renew({ targetId }: LeasedTargetAddress, renewal: LeaseRenewal): Promise<LeaseAnswer> {
    await this.holdBack(targetId, renewal);
    this.throwIfCutOff(targetId);
    const answer = this.renewNow(targetId, renewal);
    if (this.faults.get(targetId)?.delaysReports !== true) return answer;
    return new Promise((resolve) => {
      this.lateReports.hold(targetId, () => resolve(answer));
    });
  }

  /** {@inheritDoc LeasedTargetPort.forget} */
  // eslint-disable-next-line class-methods-use-this -- the port asks for a method
  forget(): void {}

  /** Waits before a renewal is answered; one that is held back for longer counts as it arrives. */
  private async holdBack(targetId: string, renewal: LeaseRenewal): Promise<void> {
    const isHeld = this.longestHoldMs > HELD_BACK_MS;
    this.throwIfCutOff(targetId);
    if (isHeld) this.renewNow(targetId, renewal);
    const waitMs = Math.min(this.longestHoldMs, renewal.waitMs);
    await sleep(isHeld ? waitMs : HELD_BACK_MS);
  }

  private renewNow(targetId: string, renewal: LeaseRenewal): LeaseAnswer {
    if (this.isUnhealthy(targetId)) return { type: 'unhealthy' };
    const isIgnored = this.faults.get(targetId)?.ignoresAcknowledgements === true;
    const received = isIgnored ? { ...renewal, acknowledgedEndNumber: 0 } : renewal;
    return this.targets.get(targetId)?.renew(received) ?? { type: 'other-lifetime' };
  }

  private isStartLate(targetId: string, { taskName, run, term }: TaskStart): boolean {
    const { appliesStartsLate, appliesFirstStartsLate } = this.faults.get(targetId)!;
    if (appliesStartsLate) return true;
    const key = `${targetId} ${taskName} ${run} ${term}`;
    if (!appliesFirstStartsLate || this.heldRuns.has(key)) return false;
    this.heldRuns.add(key);
    return true;
  }

  private delayStart(targetId: string, start: TaskStart): Promise<StartAnswer> {
    return new Promise((resolve, reject) => {
      this.lateStarts.hold(targetId, () => {
        const answer = this.beginLate(targetId, start);
        if (answer === undefined) reject(new Error('The start was not answered.'));
        else resolve(answer);
      });
    });
  }

  /** Carries a start out whose caller may be gone; undefined if the target is gone, too. */
  private beginLate(targetId: string, start: TaskStart): StartAnswer | undefined {
    if (!this.targets.has(targetId)) return undefined;
    try {
      return this.begin(targetId, start);
    } catch {
      return undefined;
    }
  }

  private begin(targetId: string, start: TaskStart, refusal?: StartRefusal): StartAnswer {
    const { taskName, run } = start;
    const target = this.targets.get(targetId)!;
    const isThere = target.isRunning(taskName, run);
    const isRunning = this.listRunning().includes(taskName);
    const answer = target.start(start, refusal);
    if (answer.type !== 'started' || isThere) return answer;
    this.begun.push({ targetId, taskName, run });
    if (isRunning) this.violations.push(`${taskName} runs twice`);
    if (this.isDone(taskName)) this.violations.push(`${taskName} began again after its end`);
    if (this.crashingTasks.has(taskName)) {
      this.crash(targetId);
      throw new Error('The target crashed.');
    }
    return answer;
  }

  private isDone(taskName: string): boolean {
    if (this.done.has(taskName)) return true;
    return [...this.targets.values()].some(({ doneNames }) => doneNames.includes(taskName));
  }

  private isUnhealthy(targetId: string): boolean {
    return this.faults.get(targetId)?.isUnhealthy === true;
  }

  private throwIfCutOff(targetId: string): void {
    if (this.faults.get(targetId)?.isCutOff === true) throw new Error('The target is cut off.');
  }
}
