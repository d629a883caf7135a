import type {
  CommandAnswer,
  RunningTaskReport,
  StartAnswer,
  StartRefusal,
} from '../targets/index.js';
import { assertNever } from '../utils/index.js';
import type { RunKey } from './RunKey.js';
import {
  describeOrder,
  type OrderedRun,
  type OrderPhase,
  type RunOrder,
  STOP_PHASES,
} from './RunOrder.js';
import { StrayRuns } from './StrayRuns.js';
import type { TaskOrdersOptions } from './TaskOrdersOptions.js';

/**
 * Starts and stops runs on targets, and determines the outcome of unanswered orders.
 *
 * An unanswered start may take effect seconds later. It is repeated with the same run number on the
 * same target, where the repetition has no further effect. The task moves to another target only
 * after this one has refused the start, has accepted a stop, or has ended its lifetime. Otherwise
 * the task could run twice.
 */
export class TaskOrders {
  private readonly options: TaskOrdersOptions;

  private readonly orders = new Map<string, RunOrder>();

  /** The same orders by target, because each report of a target is compared with its orders. */
  private readonly byTarget = new Map<string, Set<RunOrder>>();

  private readonly strayRuns: StrayRuns;

  /**
   * Creates an empty set of orders.
   * @param options - The port to targets, and callbacks for their answers.
   */
  constructor(options: TaskOrdersOptions) {
    this.options = options;
    this.strayRuns = new StrayRuns(options);
  }

  /**
   * Reserves a run that will be started once its placement is stored.
   * @param key - The run.
   */
  reserve(key: RunKey): void {
    this.add({ ...key, phase: 'unsent', begunAtMs: undefined, answeredAtMs: 0 });
  }

  /**
   * Takes over a run that an earlier home has placed and may have started.
   * @param key - The run.
   */
  adopt(key: RunKey): void {
    this.add({ ...key, phase: 'unanswered', begunAtMs: undefined, answeredAtMs: 0 });
  }

  /**
   * Forgets a run that is over.
   * @param taskName - Name of the task.
   */
  forget(taskName: string): void {
    const order = this.orders.get(taskName);
    if (order === undefined) return;
    this.orders.delete(taskName);
    this.byTarget.get(order.targetId)?.delete(order);
  }

  /**
   * Tells whether the start of a run was never sent to its target.
   * @param taskName - Name of the task.
   * @returns Whether its start is still only planned.
   */
  isUnsent(taskName: string): boolean {
    return this.orders.get(taskName)?.phase === 'unsent';
  }

  /**
   * Tells whether a run is being stopped; its target may still report it for a moment.
   * @param taskName - Name of the task.
   * @returns Whether a stop was sent, with or without an answer, and the end of the run was not
   * reported yet.
   */
  isStopping(taskName: string): boolean {
    return STOP_PHASES.has(this.orders.get(taskName)?.phase);
  }

  /**
   * Finds the order for a task.
   * @param taskName - Name of the task.
   * @returns Its run, or undefined if none is ordered.
   */
  find(taskName: string): OrderedRun | undefined {
    const order = this.orders.get(taskName);
    return order && describeOrder(order);
  }

  /**
   * Lists the runs on a target.
   * @param targetId - Id of the target.
   * @returns The runs, started or not.
   */
  listOn(targetId: string): readonly OrderedRun[] {
    return [...(this.byTarget.get(targetId) ?? [])].map(describeOrder);
  }

  /**
   * Counts the runs on a target.
   * @param targetId - Id of the target.
   * @returns How many there are, started or not.
   */
  countOn(targetId: string): number {
    return this.byTarget.get(targetId)?.size ?? 0;
  }

  /**
   * Tells whether a target has stray runs, which take up capacity until their end is reported.
   * @param targetId - Id of the target.
   * @returns Whether its latest report shows any.
   */
  hasStrayRuns(targetId: string): boolean {
    return this.strayRuns.hasRunsOn(targetId);
  }

  /**
   * Forgets a target whose lifetime is over, once nothing is ordered there any more.
   * @param targetId - Id of the target.
   */
  forgetTarget(targetId: string): void {
    this.strayRuns.forgetTarget(targetId);
    if (this.countOn(targetId) === 0) this.byTarget.delete(targetId);
  }

  /**
   * Starts a reserved run.
   * @param taskName - Name of the task.
   */
  start(taskName: string): void {
    const order = this.orders.get(taskName);
    if (order?.phase === 'unanswered') this.repeatStart(order);
    if (order?.phase !== 'unsent') return;
    if (this.options.refusesStarts(order.targetId)) this.withdraw(order);
    else void this.sendStart(order);
  }

  /**
   * Stops a run, whether or not it has begun.
   * @param taskName - Name of the task.
   */
  stop(taskName: string): void {
    const order = this.orders.get(taskName);
    if (order === undefined || STOP_PHASES.has(order.phase)) return;
    void this.sendStop(order);
  }

  /**
   * Compares the runs on a target with its report.
   * @param targetId - Id of the target.
   * @param running - What runs there.
   * @param askedAtMs - When the report was requested, by the monotonic clock.
   */
  reconcile(targetId: string, running: readonly RunningTaskReport[], askedAtMs: number): void {
    const runningByName = new Map(running.map((task) => [task.taskName, task]));
    const onTarget = this.byTarget.get(targetId) ?? [];
    [...onTarget].forEach((order) => {
      // An order handled earlier in this loop may have ended this run too, as one of its gang.
      if (!this.isCurrent(order)) return;
      const isRunning = runningByName.get(order.taskName)?.run === order.run;
      if (isRunning) this.noteRunning(order);
      else if (order.answeredAtMs < askedAtMs) this.noteAbsent(order);
    });
    const strays = running
      .filter(({ taskName, run }) => !this.isOrdered(targetId, taskName, run))
      .map(({ taskName, run }): RunKey => ({ taskName, run, targetId }));
    this.strayRuns.update(targetId, strays);
  }

  private add(order: RunOrder): void {
    this.forget(order.taskName);
    this.orders.set(order.taskName, order);
    const onTarget = this.byTarget.get(order.targetId) ?? new Set();
    this.byTarget.set(order.targetId, onTarget.add(order));
  }

  private isOrdered(targetId: string, taskName: string, run: number): boolean {
    const order = this.orders.get(taskName);
    return order?.targetId === targetId && order.run === run;
  }

  private noteRunning(order: RunOrder): void {
    if (order.phase === 'stop-unanswered') void this.sendStop(order);
    if (order.phase !== 'unanswered' && order.phase !== 'starting') return;
    const isWanted = this.options.createStart(order) !== undefined;
    this.settle(order, 'started');
    if (!isWanted) void this.sendStop(order);
  }

  private noteAbsent(order: RunOrder): void {
    switch (order.phase) {
      case 'unsent':
      case 'starting':
      case 'stopping':
        return;
      case 'unanswered':
        this.repeatStart(order);
        return;
      case 'stop-unanswered':
        void this.sendStop(order);
        return;
      case 'started':
      case 'stopped':
        this.forget(order.taskName);
        this.options.onVanished(order);
        return;
      default:
        assertNever(order.phase);
    }
  }

  /**
   * Repeats an unanswered start. If the target has announced its leave meanwhile, or its capacity
   * has shrunk, the run is stopped instead: the start, repeated seconds later, would put a task on
   * a target that takes none. Once the run is stopped there, the task can go to another target.
   */
  private repeatStart(order: RunOrder): void {
    if (this.options.refusesStarts(order.targetId)) void this.sendStop(order);
    else void this.sendStart(order);
  }

  /**
   * Withdraws a first start whose target has announced its leave, or whose capacity has shrunk,
   * while the placement was being stored: with a slow store, the start would put the task on a
   * target that takes none. Nothing was sent, so the task waits again for the next round.
   */
  private withdraw(order: RunOrder): void {
    const { events, term, onWithdrawn } = this.options;
    const { taskName, run, targetId } = order;
    events.write('startWithdrawn', { taskName, run, targetId, term });
    this.forget(taskName);
    onWithdrawn(order);
  }

  private settle(order: RunOrder, phase: OrderPhase): void {
    const answeredAtMs = this.options.clock.monotonicMs();
    const begunAtMs = order.begunAtMs ?? (phase === 'started' ? answeredAtMs : undefined);
    const hasUnansweredStart = order.hasUnansweredStart === true || order.phase === 'unanswered';
    Object.assign(order, { phase, answeredAtMs, begunAtMs, hasUnansweredStart });
  }

  private isCurrent(order: RunOrder): boolean {
    return this.orders.get(order.taskName) === order;
  }

  private async sendStart(order: RunOrder): Promise<void> {
    const { port, events, term } = this.options;
    const start = this.options.createStart(order);
    const address = this.options.getAddress(order.targetId);
    if (start === undefined || address === undefined) {
      void this.sendStop(order);
      return;
    }
    this.settle(order, 'starting');
    const { taskName, run, targetId, hasUnansweredStart: isRepeat } = order;
    const fields = { taskName, run, targetId, term, isRepeat };
    try {
      const answer = await port.start(address, start);
      if (this.isCurrent(order)) this.handleStartAnswer(order, answer);
    } catch (thrown) {
      events.write('startUnanswered', { ...fields, reason: String(thrown) });
      if (this.isCurrent(order) && order.phase === 'starting') this.settle(order, 'unanswered');
    }
  }

  private handleStartAnswer(order: RunOrder, answer: StartAnswer): void {
    const { onClock, onOtherLifetime } = this.options;
    switch (answer.type) {
      case 'started':
        onClock(order.targetId, answer.targetClockMs);
        if (order.phase === 'starting') this.settle(order, 'started');
        return;
      case 'other-lifetime':
        onOtherLifetime(order.targetId);
        return;
      case 'refused':
        if (answer.targetClockMs !== undefined) onClock(order.targetId, answer.targetClockMs);
        this.handleRefusal(order, answer.reason);
        return;
      default:
        assertNever(answer);
    }
  }

  private handleRefusal(order: RunOrder, reason: StartRefusal): void {
    const { events, term, onRefused, onStaleTerm } = this.options;
    const { taskName, run, targetId, hasUnansweredStart: isRepeat } = order;
    events.write('startRefused', { taskName, run, targetId, term, reason, isRepeat });
    if (reason === 'stale-term') onStaleTerm();
    // The run has already ended there; a report has its end, or the next one shows its absence.
    else if (reason === 'stale-run') this.settle(order, 'started');
    else if (order.phase === 'starting') {
      this.forget(taskName);
      onRefused(order, reason);
    }
  }

  /**
   * Sends a stop; an unanswered stop is repeated with each report until the target has answered.
   *
   * Otherwise two tasks of a step could be unavailable at once: the run would count as at work
   * again, a second task of its step would be stopped, and then the first stop would take effect
   * after all.
   */
  private async sendStop(order: RunOrder): Promise<void> {
    const { port, events, term } = this.options;
    const address = this.options.getAddress(order.targetId);
    if (address === undefined) return;
    this.settle(order, 'stopping');
    const { taskName, run, targetId } = order;
    try {
      const answer = await port.stop(address, taskName, run, term);
      if (this.isCurrent(order)) this.handleStopAnswer(order, answer);
    } catch (thrown) {
      events.write('stopUnanswered', { taskName, run, targetId, term, reason: String(thrown) });
      if (this.isCurrent(order)) this.settle(order, 'stop-unanswered');
    }
  }

  private handleStopAnswer(order: RunOrder, answer: CommandAnswer): void {
    const { onOtherLifetime, onStaleTerm } = this.options;
    switch (answer.type) {
      case 'accepted':
        this.settle(order, 'stopped');
        return;
      case 'other-lifetime':
        onOtherLifetime(order.targetId);
        return;
      case 'refused':
        if (answer.reason === 'stale-term') onStaleTerm();
        else this.settle(order, 'stop-unanswered');
        return;
      default:
        assertNever(answer);
    }
  }
}
