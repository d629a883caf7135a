import type { RunEvent, RunLifeVerdict } from '../systems/index.js';
import type { CommandAnswer, StartAnswer, StartRefusal } from '../targets/index.js';
import { assertNever } from '../utils/index.js';
import type { RunOrder } from './RunOrder.js';
import type { TaskOrdersOptions } from './TaskOrdersOptions.js';

/** Options of {@link RunCommands}. */
export interface RunCommandsOptions extends TaskOrdersOptions {
  /** Tells whether an order still stands; the answer to a call for any other one is ignored. */
  readonly isCurrent: (order: RunOrder) => boolean;
  /** Records an event of a run, does what follows, and returns it. */
  readonly apply: (order: RunOrder, event: RunEvent) => RunLifeVerdict;
}

/** Sends starts and stops to targets, and turns their answers into events of the runs. */
export class RunCommands {
  private readonly options: RunCommandsOptions;

  /**
   * Creates the commands of a home.
   * @param options - The port to targets, and what their answers lead to.
   */
  constructor(options: RunCommandsOptions) {
    this.options = options;
  }

  /**
   * Sends the start of a run, or a stop if the run is no longer wanted.
   * @param order - The order for the run.
   */
  async start(order: RunOrder): Promise<void> {
    const { port, events, term } = this.options;
    const start = this.options.createStart(order);
    const address = this.options.getAddress(order.targetId);
    if (start === undefined || address === undefined) {
      await this.stop(order);
      return;
    }
    const isRepeat = order.life.phase !== 'unsent';
    this.options.apply(order, { type: 'start-sent' });
    const { taskName, run, targetId } = order;
    const fields = { taskName, run, targetId, term, isRepeat };
    try {
      const answer = await port.start(address, start);
      if (answer.type === 'refused') {
        events.write('startRefused', { ...fields, reason: answer.reason });
      }
      if (answer.type === 'unreachable') {
        events.write('startUnanswered', { ...fields, reason: answer.type });
      } else {
        Object.assign(order, { hasReceivedStart: true });
      }
      if (this.options.isCurrent(order)) this.handleStartAnswer(order, answer);
    } catch (thrown) {
      Object.assign(order, { hasReceivedStart: true });
      events.write('startUnanswered', { ...fields, reason: String(thrown) });
      if (this.options.isCurrent(order)) this.options.apply(order, { type: 'start-unanswered' });
    }
  }

  private handleStartAnswer(order: RunOrder, answer: StartAnswer): void {
    const { onClock, onOtherLifetime, onStarted } = this.options;
    switch (answer.type) {
      case 'started':
        onClock(order.targetId, answer.targetClockMs);
        // An earlier start without an answer may have begun the run before.
        if (!order.life.hasOpenStart) onStarted(order, answer.targetClockMs);
        this.options.apply(order, { type: 'start-accepted' });
        return;
      case 'other-lifetime':
        onOtherLifetime(order.targetId);
        return;
      case 'unreachable':
        // The target may be back at any moment, so the start is repeated like an unanswered one.
        this.options.apply(order, { type: 'start-unanswered' });
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
    const { apply, onRefused, onNeverBegins, onStaleTerm } = this.options;
    if (reason === 'stale-term') onStaleTerm();
    else if (reason === 'stale-run') apply(order, { type: 'start-refused-as-old' });
    else if (order.life.phase === 'starting') {
      onRefused(order, reason);
      const verdict = apply(order, { type: 'start-refused' });
      if (verdict === 'never-begins') onNeverBegins(order, reason);
    }
  }

  /**
   * Sends the stop of a run; an unanswered one is repeated with each report until the target has
   * answered.
   *
   * Otherwise two tasks of a step could be unavailable at once: the run would count as at work
   * again, a second task of its step would be stopped, and then the first stop would take effect
   * after all.
   * @param order - The order for the run.
   */
  async stop(order: RunOrder): Promise<void> {
    const { port, events, term } = this.options;
    const address = this.options.getAddress(order.targetId);
    if (address === undefined) return;
    this.options.apply(order, { type: 'stop-sent' });
    const { taskName, run, targetId } = order;
    try {
      const answer = await port.stop(address, taskName, run, term);
      if (this.options.isCurrent(order)) this.handleStopAnswer(order, answer);
    } catch (thrown) {
      events.write('stopUnanswered', { taskName, run, targetId, term, reason: String(thrown) });
      if (this.options.isCurrent(order)) this.options.apply(order, { type: 'stop-failed' });
    }
  }

  private handleStopAnswer(order: RunOrder, answer: CommandAnswer): void {
    const { onOtherLifetime, onStaleTerm } = this.options;
    switch (answer.type) {
      case 'accepted':
        this.options.apply(order, { type: 'stop-accepted' });
        return;
      case 'other-lifetime':
        onOtherLifetime(order.targetId);
        return;
      case 'refused':
        if (answer.reason === 'stale-term') onStaleTerm();
        else this.options.apply(order, { type: 'stop-failed' });
        return;
      default:
        assertNever(answer);
    }
  }
}
