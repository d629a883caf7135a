import { setTimeout as sleep } from 'node:timers/promises';
import { STABLE_AFTER_MS } from '../systems/index.js';
import type { OrderedRun } from './RunOrder.js';
import type { TargetCallOptions } from './TargetCallOptions.js';

/** Options of {@link RunConfirmations}. */
export interface RunConfirmationsOptions extends TargetCallOptions {
  readonly find: (taskName: string) => OrderedRun | undefined;
  /** Tells whether a target answers at this moment. */
  readonly isReachable: (targetId: string) => boolean;
  /** Called once other tasks may be placed on the target of the confirmed task. */
  readonly onConfirmed: () => void;
}

/**
 * Time from a start to its confirmation, in milliseconds; includes a margin for the first answer.
 */
const CONFIRM_AFTER_MS = STABLE_AFTER_MS + 50;

/**
 * Checks early whether a target has survived the start of a task that may have crashed others.
 *
 * Otherwise the target would be reserved for the task until its next report, for a second or more,
 * and an unrelated crash in that time would be attributed to the task.
 */
export class RunConfirmations {
  private readonly options: RunConfirmationsOptions;

  /**
   * Starts without pending confirmations.
   * @param options - The port to targets, and access to the ordered runs.
   */
  constructor(options: RunConfirmationsOptions) {
    this.options = options;
  }

  /**
   * Sends the start of a run again after a short delay. A repeated start has no effect on a run
   * that has begun, and the answer shows that the target has survived until then. It is not sent to
   * a silent target, which may have started again under its id: it would begin the run once more.
   * @param taskName - Name of the task.
   * @returns Resolves once the target has answered or the call has failed.
   */
  async confirmAfterDelay(taskName: string): Promise<void> {
    const { find, onConfirmed } = this.options;
    const run = find(taskName)?.run;
    await sleep(CONFIRM_AFTER_MS, undefined, { ref: false });
    const begun = find(taskName);
    if (begun?.isRunning !== true || begun.run !== run) return;
    if (!this.options.isReachable(begun.targetId)) return;
    await this.confirm(begun);
    onConfirmed();
  }

  private async confirm(begun: OrderedRun): Promise<void> {
    const { port, events, term, createStart, getAddress, onClock } = this.options;
    const { taskName, run, targetId } = begun;
    const start = createStart(begun);
    const address = getAddress(targetId);
    if (start === undefined || address === undefined) return;
    try {
      const answer = await port.start(address, start);
      if (answer.type === 'started') onClock(targetId, answer.targetClockMs);
      if (answer.type === 'unreachable') {
        events.write('startUnanswered', { taskName, run, targetId, term, reason: answer.type });
      }
    } catch (thrown) {
      events.write('startUnanswered', { taskName, run, targetId, term, reason: String(thrown) });
    }
  }
}
