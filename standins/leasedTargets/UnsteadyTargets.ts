import { setTimeout as sleep } from 'node:timers/promises';
import type {
  CommandAnswer,
  LeaseAnswer,
  LeasedTargetAddress,
  LeasedTargetPort,
  LeaseRenewal,
  StartAnswer,
  TaskEnd,
  TaskStart,
} from '../../src/targets/index.js';
import { assertNever, type Clock } from '../../src/utils/index.js';
import type { CallFate, FatedCall, TargetCondition } from './CallFate.js';
import { TargetLifetime } from './TargetLifetime.js';
import type { TargetObserver } from './TargetObserver.js';

/** A lifetime of a target that has started again under its id. */
interface Rebirth {
  readonly nextId: string;
  /** Whether the next renewal for the lifetime before meets a connection that has broken. */
  hasBrokenConnection: boolean;
}

/** Time that a call takes on its way, in milliseconds. */
const WAY_MS = 1;
/** Longest wait after which a renewal counts only as it is answered, in milliseconds. */
const SHORT_WAIT_MS = 100;
/** Time after which a call counts as unanswered, in milliseconds. */
const CALL_TIMEOUT_MS = 100;

/** Stands in for leased targets whose calls are lost, late, overtaken or refused as told. */
export class UnsteadyTargets implements LeasedTargetPort {
  private readonly clock: Clock;

  private readonly observer: TargetObserver;

  private readonly lifetimes = new Map<string, TargetLifetime>();

  /** Lifetimes that are over, and whether another lifetime answers at their address. */
  private readonly ended = new Map<string, boolean>();

  /** Lifetimes whose target has started again under its id, with what takes their calls. */
  private readonly rebirths = new Map<string, Rebirth>();

  /**
   * Creates the stand-in without targets.
   * @param clock - Clock of the targets.
   * @param observer - Is told what happens.
   */
  constructor(clock: Clock, observer: TargetObserver) {
    this.clock = clock;
    this.observer = observer;
  }

  /**
   * Adds a target.
   * @param targetId - Id of the lifetime.
   * @param clockRate - How fast its own clock runs, as a multiple of the clock of all targets.
   * @param clockStartMs - When its own clock shows 0, by the clock of all targets.
   */
  add(targetId: string, clockRate = 1, clockStartMs = 0): void {
    const { clock, observer } = this;
    const lifetime = new TargetLifetime({ targetId, clock, observer, clockRate, clockStartMs });
    this.lifetimes.set(targetId, lifetime);
  }

  /** Ids of the lifetimes that are not over. */
  get targetIds(): readonly string[] {
    return [...this.lifetimes.keys()];
  }

  /**
   * Ends a lifetime, with all that runs there and all ends that nobody has acknowledged.
   * @param targetId - Id of the lifetime.
   * @param isReplaced - Whether another lifetime answers at its address; otherwise nothing does.
   */
  crash(targetId: string, isReplaced: boolean): void {
    this.observe();
    this.lifetimes.delete(targetId);
    this.ended.set(targetId, isReplaced);
    this.observer.onCrashed(targetId);
  }

  /**
   * Ends a lifetime and starts the target again under its id: its clock and its ends begin anew,
   * and it carries out calls for the lifetime before. Connections from before break.
   * @param targetId - Id of the lifetime that ends.
   * @param nextId - Id of the next one.
   */
  restart(targetId: string, nextId: string): void {
    const lifetime = this.lifetimes.get(targetId)!;
    this.crash(targetId, true);
    lifetime.breakConnections();
    this.rebirths.set(targetId, { nextId, hasBrokenConnection: true });
    this.add(nextId, 1, this.clock.monotonicMs());
  }

  /**
   * Changes the state of a target.
   * @param targetId - Id of the lifetime.
   * @param condition - The state from now on.
   */
  setCondition(targetId: string, condition: TargetCondition): void {
    this.lifetimes.get(targetId)!.condition = condition;
  }

  /**
   * Chooses what happens to the next calls of a kind for which nothing is chosen yet.
   * @param targetId - Id of the lifetime.
   * @param call - Kind of the calls.
   * @param fates - What happens to one after the other.
   */
  addFates(targetId: string, call: FatedCall, fates: readonly CallFate[]): void {
    this.lifetimes.get(targetId)!.addFates(call, fates);
  }

  /** Lifts every fault; calls that are under way stay so. */
  liftFaults(): void {
    this.lifetimes.forEach((lifetime) => lifetime.liftFaults());
  }

  /**
   * Finds the run of a task that goes on at this moment.
   * @param targetId - Id of the lifetime.
   * @param taskName - Name of the task.
   * @returns Its number, or undefined if the task does not run there.
   */
  findRun(targetId: string, taskName: string): number | undefined {
    this.observe();
    return this.lifetimes.get(targetId)?.findRun(taskName);
  }

  /**
   * Ends a run by itself.
   * @param targetId - Id of the lifetime.
   * @param taskName - Name of the task, which runs there.
   * @param end - How it ends.
   */
  end(targetId: string, taskName: string, end: TaskEnd): void {
    this.observe();
    this.lifetimes.get(targetId)!.end(taskName, end);
    this.observe();
  }

  /** {@inheritDoc LeasedTargetPort.start} */
  start({ targetId }: LeasedTargetAddress, start: TaskStart): Promise<StartAnswer> {
    const refuse = (reason: 'unhealthy' | 'no-room'): StartAnswer => ({ type: 'refused', reason });
    return this.call<StartAnswer>(targetId, 'start', {
      refuse,
      otherLifetime: { type: 'other-lifetime' },
      carryOut: (lifetime) => {
        const isThere = lifetime.findRun(start.taskName) === start.run;
        if (lifetime.condition === 'full' && !isThere) return refuse('no-room');
        return lifetime.begin(start);
      },
    });
  }

  /** {@inheritDoc LeasedTargetPort.stop} */
  stop(
    { targetId }: LeasedTargetAddress,
    taskName: string,
    run: number,
    term: number,
  ): Promise<CommandAnswer> {
    return this.call<CommandAnswer>(targetId, 'stop', {
      refuse: (reason) => ({ type: 'refused', reason }),
      otherLifetime: { type: 'other-lifetime' },
      carryOut: (lifetime) => lifetime.stop(taskName, run, term),
    });
  }

  /** {@inheritDoc LeasedTargetPort.pace} */
  async pace({ targetId }: LeasedTargetAddress): Promise<CommandAnswer> {
    return { type: this.lifetimes.has(targetId) ? 'accepted' : 'other-lifetime' };
  }

  /** {@inheritDoc LeasedTargetPort.renew} */
  async renew({ targetId }: LeasedTargetAddress, renewal: LeaseRenewal): Promise<LeaseAnswer> {
    if (renewal.waitMs > SHORT_WAIT_MS) this.renewOnArrival(targetId, renewal);
    const hadRebirth = this.rebirths.has(targetId);
    const answered = sleep(Math.max(WAY_MS, renewal.waitMs));
    await Promise.race([answered, this.lifetimes.get(targetId)?.whenReset ?? answered]);
    this.breakConnection(targetId, hadRebirth);
    return this.call<LeaseAnswer>(targetId, 'renew', {
      refuse: () => ({ type: 'unhealthy' }),
      otherLifetime: { type: 'other-lifetime' },
      carryOut: (lifetime, presentId) => {
        const answer = lifetime.renew(renewal);
        if (answer.type === 'report') {
          this.observer.onAcknowledged(presentId, renewal.acknowledgedEndNumber);
        }
        return presentId === targetId ? answer : { type: 'reborn', targetId: presentId };
      },
    });
  }

  /** {@inheritDoc LeasedTargetPort.forget} */
  // eslint-disable-next-line class-methods-use-this -- the port asks for a method
  forget(): void {}

  /** Extends the lease at once, unless something happens to the renewal. */
  private renewOnArrival(targetId: string, renewal: LeaseRenewal): void {
    const lifetime = this.lifetimes.get(targetId);
    const isWell = lifetime?.condition === 'well' && !lifetime.hasFate('renew');
    if (!isWell) return;
    this.observe();
    lifetime.renew(renewal);
    this.observer.onAcknowledged(targetId, renewal.acknowledgedEndNumber);
  }

  private async call<Answer>(targetId: string, call: FatedCall, how: CallEffect<Answer>) {
    const presentId = this.findPresent(targetId);
    const fate = this.lifetimes.get(presentId)?.takeFate(call);
    await sleep(WAY_MS);
    if (fate === undefined) return this.carryOut(presentId, how);
    switch (fate.type) {
      case 'request-lost':
        return UnsteadyTargets.timeOut();
      case 'answer-lost':
        await this.carryOut(presentId, how).catch(() => undefined);
        return UnsteadyTargets.timeOut();
      case 'late':
        void this.carryOutLate(presentId, how, fate.afterMs);
        return UnsteadyTargets.timeOut();
      case 'slow':
        await sleep(fate.afterMs);
        return this.carryOut(presentId, how);
      case 'unhealthy':
      case 'no-room':
        return this.lifetimes.has(presentId) ? how.refuse(fate.type) : how.otherLifetime;
      default:
        return assertNever(fate);
    }
  }

  private async carryOutLate<Answer>(
    targetId: string,
    how: CallEffect<Answer>,
    afterMs: number,
  ): Promise<void> {
    await sleep(afterMs);
    await this.carryOut(targetId, how).catch(() => undefined);
  }

  /** Carries a call out as the target is at this moment. */
  private async carryOut<Answer>(targetId: string, how: CallEffect<Answer>): Promise<Answer> {
    const lifetime = this.lifetimes.get(targetId);
    if (lifetime === undefined) {
      // A call that was under way dies with its connection, and never reaches the next lifetime.
      if (this.rebirths.has(targetId)) throw new Error('The connection was reset.');
      return this.ended.get(targetId) === true ? how.otherLifetime : UnsteadyTargets.timeOut();
    }
    if (lifetime.condition === 'cut-off') return UnsteadyTargets.timeOut();
    if (lifetime.condition === 'unhealthy') return how.refuse('unhealthy');
    this.observe();
    const answer = how.carryOut(lifetime, targetId);
    this.observe();
    return answer;
  }

  /**
   * Fails a renewal that was under way when its target started again, or the first one after that:
   * its connection is that of the lifetime before.
   */
  private breakConnection(targetId: string, hadRebirth: boolean): void {
    const rebirth = this.rebirths.get(targetId);
    if (rebirth === undefined || !(rebirth.hasBrokenConnection || !hadRebirth)) return;
    rebirth.hasBrokenConnection = false;
    throw new Error('The connection was reset.');
  }

  /** Finds the lifetime that takes the calls for another one of its target. */
  private findPresent(targetId: string): string {
    const nextId = this.rebirths.get(targetId)?.nextId;
    return nextId === undefined ? targetId : this.findPresent(nextId);
  }

  private static async timeOut(): Promise<never> {
    await sleep(CALL_TIMEOUT_MS);
    throw new Error('The call was not answered.');
  }

  /** Tells the observer what has ended since the last look. */
  private observe(): void {
    this.lifetimes.forEach((lifetime) => lifetime.observe());
  }
}

/** How a call is carried out or refused. */
interface CallEffect<Answer> {
  readonly refuse: (reason: 'unhealthy' | 'no-room') => Answer;
  readonly otherLifetime: Answer;
  /** Is given the lifetime that takes the call, and its id. */
  readonly carryOut: (lifetime: TargetLifetime, presentId: string) => Answer;
}
