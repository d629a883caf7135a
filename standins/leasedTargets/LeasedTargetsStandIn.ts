import { setTimeout as sleep } from 'node:timers/promises';
import type {
  LeaseAnswer,
  LeasedTargetAddress,
  LeasedTargetPort,
  LeaseRenewal,
  CommandAnswer,
  StartAnswer,
  TaskStart,
} from '../../src/targets/index.js';
import { type Clock, SystemClock } from '../../src/utils/index.js';
import { LeasedTarget } from './LeasedTarget.js';

/** What goes wrong at one target; each fault lasts until it is lifted. */
export interface LeasedTargetFaults {
  /** No call reaches the target. */
  isCutOff: boolean;
  /** Starts get no answer, and are carried out once this is lifted. */
  appliesStartsLate: boolean;
  /** Stops are accepted, and what they stop goes on. */
  stopsSlowly: boolean;
  /** Stops get no answer, and what they stop goes on. */
  losesStops: boolean;
}

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

  private readonly clock: Clock;

  private readonly targets = new Map<string, LeasedTarget>();

  private readonly faults = new Map<string, LeasedTargetFaults>();

  private readonly lateStarts: { readonly targetId: string; readonly start: TaskStart }[] = [];

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
    this.faults.set(targetId, {
      isCutOff: false,
      appliesStartsLate: false,
      stopsSlowly: false,
      losesStops: false,
    });
    return target;
  }

  /**
   * Ends the lifetime of a target; its address belongs to another one.
   * @param targetId - Id of the lifetime.
   */
  remove(targetId: string): void {
    this.targets.delete(targetId);
  }

  /**
   * Crashes a target: nothing runs there any more, no call is answered, and the ends that nobody
   * has acknowledged are lost, so that their tasks may begin again.
   * @param targetId - Id of the lifetime.
   */
  crash(targetId: string): void {
    const lost = this.targets.get(targetId)?.unacknowledged ?? [];
    lost.forEach(({ taskName }) => this.done.delete(taskName));
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

  /** Carries out the starts that were held up. */
  applyLateStarts(): void {
    this.lateStarts.splice(0).forEach(({ targetId, start }) => this.begin(targetId, start));
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
    if (end === 'done') this.done.add(taskName);
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
    if (this.faults.get(targetId)!.appliesStartsLate) {
      this.lateStarts.push({ targetId, start });
      throw new Error('The start was not answered.');
    }
    return this.begin(targetId, start);
  }

  /** {@inheritDoc LeasedTargetPort.stop} */
  async stop(
    { targetId }: LeasedTargetAddress,
    taskName: string,
    run: number,
    term: number,
  ): Promise<CommandAnswer> {
    this.throwIfCutOff(targetId);
    this.stops.push(taskName);
    if (this.faults.get(targetId)?.losesStops === true) {
      throw new Error('The stop was not answered.');
    }
    if (this.faults.get(targetId)?.stopsSlowly === true) return { type: 'accepted' };
    return this.targets.get(targetId)?.stop(taskName, run, term) ?? { type: 'other-lifetime' };
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
    return this.targets.get(targetId)?.renew(renewal) ?? { type: 'other-lifetime' };
  }

  /** {@inheritDoc LeasedTargetPort.forget} */
  // eslint-disable-next-line class-methods-use-this -- the port asks for a method
  forget(): void {}

  /** Waits before a renewal is answered; one that is held back for longer counts as it arrives. */
  private async holdBack(targetId: string, renewal: LeaseRenewal): Promise<void> {
    const isHeld = this.longestHoldMs > HELD_BACK_MS;
    this.throwIfCutOff(targetId);
    if (isHeld) this.targets.get(targetId)?.renew(renewal);
    const waitMs = Math.min(this.longestHoldMs, renewal.waitMs);
    await sleep(isHeld ? waitMs : HELD_BACK_MS);
  }

  private begin(targetId: string, start: TaskStart): StartAnswer {
    const { taskName, run } = start;
    const isRunning = this.listRunning().includes(taskName);
    const answer = this.targets.get(targetId)!.start(start);
    const hasBegun =
      answer.type === 'started' &&
      !this.begun.some((known) => known.taskName === taskName && known.run === run);
    if (!hasBegun) return answer;
    this.begun.push({ targetId, taskName, run });
    if (isRunning) this.violations.push(`${taskName} runs twice`);
    if (this.done.has(taskName)) this.violations.push(`${taskName} began again after its end`);
    if (this.crashingTasks.has(taskName)) {
      this.crash(targetId);
      throw new Error('The target crashed.');
    }
    return answer;
  }

  private throwIfCutOff(targetId: string): void {
    if (this.faults.get(targetId)?.isCutOff === true) throw new Error('The target is cut off.');
  }
}
