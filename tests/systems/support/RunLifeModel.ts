import {
  advanceRun,
  INHERITED_RUN,
  PLACED_RUN,
  type RunEvent,
  type RunLife,
  STOP_PHASES,
} from '../../../src/systems/index.js';
import { type ModelAnswer, type ModelCall, ModelTarget } from './ModelTarget.js';

/** What is stored of the task; each home reads it when it takes over. */
interface StoredTask {
  readonly phase: 'waiting' | 'placed' | 'done';
  readonly run: number;
  readonly targetId: string;
}

/** A call on its way, whose home may have stopped waiting for its answer. */
interface PendingCall {
  readonly call: ModelCall;
  /** Number of the order that the call is for; a home forgets orders that are over. */
  readonly orderNumber: number;
  /** When the call was sent, in steps. */
  readonly sentAt: number;
  isAwaited: boolean;
  /** The answer, which is on its way back. */
  answer?: ModelAnswer;
}

const TARGET_IDS = ['t1', 't2'];
/** One step in this many replaces the home, and one stops the run. */
const RARE = 16;

/**
 * One task, two targets and a home that is replaced at any moment. Calls are carried out in any
 * order, or never; answers are lost.
 */
export class RunLifeModel {
  /** Breaches of the rule: two runs at once, or a start after an end as done. */
  readonly violations: string[] = [];

  /** Number of runs that have begun. */
  begunCount = 0;

  private readonly targets = new Map(TARGET_IDS.map((id) => [id, new ModelTarget()]));

  private stored: StoredTask = { phase: 'waiting', run: 0, targetId: '' };

  private life: RunLife | undefined;

  private orderNumber = 0;

  private term = 1;

  private step = 0;

  /** Step of the latest answer about the order; only reports that were requested later count. */
  private answeredAt = 0;

  private pending: readonly PendingCall[] = [];

  private readonly acknowledged = new Map<string, number>();

  private isDoneAcknowledged = false;

  /** Whether the task is done. */
  get isDone(): boolean {
    return this.stored.phase === 'done';
  }

  private get isStoppable(): boolean {
    return this.life !== undefined && !STOP_PHASES.has(this.life.phase);
  }

  /**
   * Takes one of the steps that are possible now.
   * @param choice - Any number; chooses the step.
   */
  take(choice: number): void {
    this.step += 1;
    const steps = this.listSteps();
    const index = Math.floor(choice / RARE) % steps.length;
    if (choice % RARE === 1) this.takeOver();
    else if (choice % RARE === 2 && this.isStoppable) this.send('stop');
    else steps[index]!();
  }

  private listSteps(): readonly (() => void)[] {
    TARGET_IDS.forEach((targetId) => this.renew(targetId));
    const calls = this.pending.flatMap((pending) => this.listFates(pending));
    const ends = [...this.targets.values()]
      .filter(({ running }) => running !== undefined)
      .flatMap((target) => [() => target.end(true), () => target.end(false)]);
    const { phase, targetId } = this.stored;
    const nextTargetId = TARGET_IDS.find((id) => id !== targetId)!;
    const placements = phase === 'waiting' ? [() => this.place(nextTargetId)] : [];
    return [...calls, ...ends, ...placements];
  }

  private listFates(pending: PendingCall): readonly (() => void)[] {
    const { call, isAwaited, answer } = pending;
    if (answer !== undefined) return [() => this.receive(pending, answer)];
    const deliver = (): void => this.deliver(pending);
    if (!isAwaited || call.type === 'renew') return [deliver];
    const refuse = (): void => this.receive(pending, { type: 'refused' });
    return [deliver, deliver, () => this.giveUp(pending), refuse];
  }

  private place(targetId: string): void {
    this.stored = { phase: 'placed', run: this.stored.run + 1, targetId };
    this.setLife(PLACED_RUN);
    this.send('start');
  }

  private takeOver(): void {
    this.term += 1;
    this.acknowledged.clear();
    this.pending = this.pending.map((pending) => ({ ...pending, isAwaited: false }));
    this.setLife(this.stored.phase === 'placed' ? INHERITED_RUN : undefined);
    this.answeredAt = 0;
  }

  private setLife(life: RunLife | undefined): void {
    this.life = life;
    this.orderNumber += 1;
    this.answeredAt = this.step;
  }

  private send(type: 'start' | 'stop'): void {
    const { run, targetId } = this.stored;
    this.enqueue({ type, run, targetId });
    this.apply({ type: type === 'start' ? 'start-sent' : 'stop-sent' });
  }

  /** Sends a renewal to a target unless one is on its way. */
  private renew(targetId: string): void {
    if (this.isRenewing(targetId)) return;
    this.enqueue({ type: 'renew', run: 0, targetId });
  }

  private isRenewing(targetId: string): boolean {
    return this.pending.some(
      ({ call, isAwaited }) => isAwaited && call.type === 'renew' && call.targetId === targetId,
    );
  }

  private enqueue(call: Pick<ModelCall, 'type' | 'run' | 'targetId'>): void {
    const acknowledgedEndCount = this.acknowledged.get(call.targetId) ?? 0;
    const { term, orderNumber, step: sentAt } = this;
    const sent = { ...call, term, acknowledgedEndCount };
    this.pending = [...this.pending, { call: sent, orderNumber, sentAt, isAwaited: true }];
  }

  private deliver(pending: PendingCall): void {
    const target = this.targets.get(pending.call.targetId)!;
    const { running, ends } = target;
    const answer = target.apply(pending.call);
    if (target.running !== undefined && target.running !== running) this.noteBegun();
    this.isDoneAcknowledged ||= ends.some((end) => end.isDone && !target.ends.includes(end));
    Object.assign(pending, { answer });
  }

  private receive(pending: PendingCall, answer: ModelAnswer): void {
    this.pending = this.pending.filter((other) => other !== pending);
    this.handleAnswer(pending, answer);
  }

  /** The home stops waiting; the call may still be carried out. */
  private giveUp(pending: PendingCall): void {
    if (this.isAboutOrder(pending)) {
      this.apply({ type: pending.call.type === 'start' ? 'start-unanswered' : 'stop-failed' });
    }
    Object.assign(pending, { isAwaited: false });
  }

  private noteBegun(): void {
    this.begunCount += 1;
    const targets = [...this.targets.values()];
    const runningCount = targets.filter(({ running }) => running !== undefined).length;
    // An end that is still listed will be acknowledged later, which counts as well.
    const isDoneListed = targets.some(({ ends }) => ends.some(({ isDone }) => isDone));
    if (runningCount > 1) this.violations.push('two runs at once');
    if (this.isDoneAcknowledged || isDoneListed) this.violations.push('a start after its end');
  }

  private isAboutOrder({ isAwaited, orderNumber }: PendingCall): boolean {
    return isAwaited && orderNumber === this.orderNumber && this.life !== undefined;
  }

  private handleAnswer(pending: PendingCall, answer: ModelAnswer): void {
    const { call, isAwaited, sentAt } = pending;
    if (answer.type === 'report') {
      if (isAwaited) this.handleReport(call.targetId, answer, sentAt);
      return;
    }
    if (!this.isAboutOrder(pending)) return;
    if (call.type === 'stop') {
      this.apply({ type: answer.type === 'accepted' ? 'stop-accepted' : 'stop-failed' });
    } else if (answer.type === 'accepted') this.apply({ type: 'start-accepted' });
    else if (answer.type === 'old') this.apply({ type: 'start-refused-as-old' });
    else if (answer.type === 'refused') this.apply({ type: 'start-refused' });
  }

  private handleReport(
    targetId: string,
    { running, ends }: Extract<ModelAnswer, { readonly type: 'report' }>,
    askedAt: number,
  ): void {
    ends.forEach(({ run, isDone }) => this.handleEnd(targetId, run, isDone));
    this.acknowledged.set(targetId, Math.max(0, ...ends.map(({ endNumber }) => endNumber)));
    const { phase, run, targetId: placedOn } = this.stored;
    if (this.life === undefined || phase !== 'placed' || placedOn !== targetId) return;
    if (running === run) this.apply({ type: 'reported-running' });
    else if (this.answeredAt < askedAt) this.apply({ type: 'reported-absent' });
  }

  private handleEnd(targetId: string, run: number, isDone: boolean): void {
    const { phase, run: placedRun, targetId: placedOn } = this.stored;
    if (phase !== 'placed' || placedRun !== run || placedOn !== targetId) return;
    this.finish(isDone ? 'done' : 'waiting');
  }

  private finish(phase: 'done' | 'waiting'): void {
    this.stored = { ...this.stored, phase };
    this.setLife(undefined);
  }

  private apply(event: RunEvent): void {
    const { life, verdict } = advanceRun(this.life!, event);
    if (life.phase !== this.life!.phase) this.answeredAt = this.step;
    this.life = life;
    if (verdict === 'send-start') this.send('start');
    if (verdict === 'send-stop') this.send('stop');
    if (verdict === 'never-begins' || verdict === 'is-over') this.finish('waiting');
  }
}
