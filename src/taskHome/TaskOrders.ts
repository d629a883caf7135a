import {
  advanceRun,
  hasUnansweredStart,
  INHERITED_RUN,
  PLACED_RUN,
  type RunEvent,
  type RunLife,
  type RunLifeVerdict,
  STOP_PHASES,
} from '../systems/index.js';
import { assertNever } from '../utils/index.js';
import { RunCommands } from './RunCommands.js';
import type { RunKey } from './RunKey.js';
import { describeOrder, type OrderedRun, type RunOrder } from './RunOrder.js';
import { RunOrders } from './RunOrders.js';
import { StrayRuns } from './StrayRuns.js';
import type { TargetReport } from './TargetSession.js';
import type { TaskOrdersOptions } from './TaskOrdersOptions.js';

/**
 * Starts and stops runs on targets, and determines the outcome of unanswered orders.
 *
 * An unanswered start may take effect seconds later. It is repeated with the same run number on the
 * same target, where the repetition has no further effect. When the task may go to another target
 * is up to {@link advanceRun}.
 */
export class TaskOrders {
  private readonly options: TaskOrdersOptions;

  private readonly orders = new RunOrders();

  /** Names of tasks that are done and whose orders stand until the run has left its target. */
  private readonly abandoned = new Set<string>();

  /** Orders whose first start waits until this instance is certain to be the home. */
  private withheld: readonly RunOrder[] = [];

  private readonly strayRuns: StrayRuns;

  private readonly commands: RunCommands;

  /**
   * Creates an empty set of orders.
   * @param options - The port to targets, and callbacks for their answers.
   */
  constructor(options: TaskOrdersOptions) {
    this.options = options;
    this.strayRuns = new StrayRuns(options);
    this.commands = new RunCommands({
      ...options,
      isCurrent: (order) => this.orders.isCurrent(order),
      apply: (order, event) => this.apply(order, event),
    });
  }

  /**
   * Reserves a run that will be started once its placement is stored.
   * @param key - The run.
   */
  reserve(key: RunKey): void {
    this.orders.add(key, PLACED_RUN);
  }

  /**
   * Takes over a run that an earlier home has placed and may have started.
   * @param key - The run.
   */
  adopt(key: RunKey): void {
    this.orders.add(key, INHERITED_RUN);
  }

  /**
   * Forgets a run that is over.
   * @param taskName - Name of the task.
   */
  forget(taskName: string): void {
    this.abandoned.delete(taskName);
    this.orders.forget(taskName);
  }

  /**
   * Stops a run whose task is done. The order stands until the run has left its target, as the run
   * takes up capacity there until then.
   * @param taskName - Name of the task.
   */
  abandon(taskName: string): void {
    if (this.isUnsent(taskName)) {
      this.forget(taskName);
      return;
    }
    this.abandoned.add(taskName);
    this.stop(taskName);
  }

  /**
   * Tells whether a run is ordered.
   * @param key - The run.
   * @returns Whether the order for its task is for this run on this target.
   */
  isOrdered(key: RunKey): boolean {
    return this.orders.has(key);
  }

  /**
   * Tells whether the start of a run was never sent to its target.
   * @param taskName - Name of the task.
   * @returns Whether its start is still only planned.
   */
  isUnsent(taskName: string): boolean {
    return this.orders.get(taskName)?.life.phase === 'unsent';
  }

  /**
   * Tells whether a run is being stopped; its target may still report it for a moment.
   * @param taskName - Name of the task.
   * @returns Whether a stop was sent, with or without an answer, and the end of the run was not
   * reported yet.
   */
  isStopping(taskName: string): boolean {
    const order = this.orders.get(taskName);
    return order !== undefined && STOP_PHASES.has(order.life.phase);
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
    return this.orders.listOn(targetId).map(describeOrder);
  }

  /**
   * Lists the runs on a target that it may begin later, by a start without an answer.
   * @param targetId - Id of the target.
   * @returns The runs.
   */
  listUnansweredStarts(targetId: string): readonly RunKey[] {
    const orders = this.orders.listOn(targetId).filter(({ life }) => hasUnansweredStart(life));
    return orders.map(describeOrder);
  }

  /**
   * Lists the runs on a target whose starts were sent, and of which no report shows that it began
   * them.
   * @param targetId - Id of the target.
   * @param sinceMs - When the latest report was requested, by the monotonic clock.
   * @returns The runs.
   */
  listUnconfirmedStarts(targetId: string, sinceMs: number): readonly RunKey[] {
    return this.orders
      .listOn(targetId)
      .filter(({ life }) => life.phase !== 'unsent')
      .filter(({ life, begunAtMs = Infinity }) => hasUnansweredStart(life) || begunAtMs > sinceMs)
      .map(describeOrder);
  }

  /**
   * Counts the runs on a target.
   * @param targetId - Id of the target.
   * @returns How many there are, started or not.
   */
  countOn(targetId: string): number {
    return this.orders.countOn(targetId);
  }

  /**
   * Tells whether a target has runs that are not wanted any more, which take up capacity until
   * their end is reported.
   * @param targetId - Id of the target.
   * @returns Whether its latest report shows stray runs, or abandoned runs have not left it.
   */
  hasUnwantedRuns(targetId: string): boolean {
    if (this.strayRuns.hasRunsOn(targetId)) return true;
    return [...this.abandoned].some((name) => this.orders.get(name)?.targetId === targetId);
  }

  /**
   * Forgets a target whose lifetime is over, once nothing is ordered there any more.
   * @param targetId - Id of the target.
   */
  forgetTarget(targetId: string): void {
    this.strayRuns.forgetTarget(targetId);
    this.orders.forgetTarget(targetId);
  }

  /**
   * Starts a reserved run, unless its task has another run by now, whose placement may not be
   * stored yet.
   * @param key - The run.
   */
  start(key: RunKey): void {
    const order = this.orders.get(key.taskName);
    if (order?.life.phase === 'unsent' && this.orders.has(key)) this.startOrWithdraw(order);
  }

  /** Sends the starts that were withheld while another instance might be the home. */
  startWithheld(): void {
    const { withheld } = this;
    this.withheld = [];
    withheld
      .filter((order) => this.orders.isCurrent(order) && order.life.phase === 'unsent')
      .forEach((order) => this.startOrWithdraw(order));
  }

  /**
   * Stops a run, whether or not it has begun.
   * @param taskName - Name of the task.
   */
  stop(taskName: string): void {
    const order = this.orders.get(taskName);
    if (order === undefined || STOP_PHASES.has(order.life.phase)) return;
    void this.commands.stop(order);
  }

  /**
   * Compares the runs on a target with its report. One that may leave ends out shows only what
   * runs: a run that is not in it may have ended, and its task must not start again.
   * @param targetId - Id of the target.
   * @param report - The report.
   */
  reconcile(targetId: string, { answer, askedAtMs }: TargetReport): void {
    const { running, hasAllEnds } = answer;
    const runningByName = new Map(running.map((task) => [task.taskName, task]));
    this.orders.listOn(targetId).forEach((order) => {
      // An order handled earlier in this loop may have ended this run too, as one of its gang.
      if (!this.orders.isCurrent(order)) return;
      const isRunning = runningByName.get(order.taskName)?.run === order.run;
      if (isRunning) this.noteRunning(order);
      else if (hasAllEnds && order.answeredAtMs < askedAtMs) {
        this.apply(order, { type: 'reported-absent' });
      }
    });
    const strays = running
      .map(({ taskName, run }): RunKey => ({ taskName, run, targetId }))
      .filter((key) => !this.orders.has(key));
    this.strayRuns.update(targetId, strays);
  }

  private noteRunning(order: RunOrder): void {
    const { phase } = order.life;
    this.apply(order, { type: 'reported-running' });
    const hasJustBegun = order.life.phase === 'started' && phase !== 'started';
    if (hasJustBegun && this.options.createStart(order) === undefined) {
      void this.commands.stop(order);
    }
  }

  /** Records an event of a run, and does what follows. */
  private apply(order: RunOrder, event: RunEvent): RunLifeVerdict {
    const { life, verdict } = advanceRun(order.life, event);
    if (life.phase !== order.life.phase) this.notePhase(order, life);
    Object.assign(order, { life });
    this.carryOut(order, verdict);
    return verdict;
  }

  private notePhase(order: RunOrder, { phase }: RunLife): void {
    const answeredAtMs = this.options.clock.monotonicMs();
    const hasBegun = phase === 'started' && order.begunAtMs === undefined;
    Object.assign(order, { answeredAtMs, ...(hasBegun ? { begunAtMs: answeredAtMs } : {}) });
    if (hasBegun) this.options.onBegun(order);
  }

  private carryOut(order: RunOrder, verdict: RunLifeVerdict): void {
    switch (verdict) {
      case 'none':
        return;
      case 'send-start':
        this.startOrWithdraw(order);
        return;
      case 'send-stop':
        void this.commands.stop(order);
        return;
      case 'never-begins':
        this.forget(order.taskName);
        return;
      case 'is-over':
        this.forget(order.taskName);
        this.options.onVanished(order);
        return;
      default:
        assertNever(verdict);
    }
  }

  /**
   * Sends a start, for the first time or once more. If the target has announced its leave
   * meanwhile, or its capacity has shrunk, the start would put a task on a target that takes none:
   * a run that no home has started waits again for the next round, and any other one is stopped, so
   * so that its task can go to another target.
   *
   * A home that may have been replaced sends no start: it may have been suspended since it stored
   * the placement, and the next home runs the task elsewhere if it could not reach the target.
   */
  private startOrWithdraw(order: RunOrder): void {
    if (!this.options.isGroupLeaseHeld()) this.withhold(order);
    else if (!this.options.refusesStarts(order.targetId)) void this.commands.start(order);
    else if (order.life.phase === 'unsent') this.withdraw(order);
    else void this.commands.stop(order);
  }

  /** Leaves a first start to the next tick, and a repeated one to the next report. */
  private withhold(order: RunOrder): void {
    if (order.life.phase === 'unsent') this.withheld = [...this.withheld, order];
  }

  private withdraw(order: RunOrder): void {
    const { events, term, onWithdrawn } = this.options;
    const { taskName, run, targetId } = order;
    events.write('startWithdrawn', { taskName, run, targetId, term });
    this.forget(taskName);
    onWithdrawn(order);
  }
}
