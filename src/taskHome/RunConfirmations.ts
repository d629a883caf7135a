import { setTimeout as sleep } from 'node:timers/promises';
import { PROVEN_MS } from '../systems/index.js';
import type { OrderedRun } from './RunOrder.js';
import type { TargetCalls } from './TargetCalls.js';

/** Options of {@link RunConfirmations}. */
export interface RunConfirmationsOptions extends TargetCalls {
  readonly find: (taskName: string) => OrderedRun | undefined;
  /** Called where others may be placed beside the task now. */
  readonly onConfirmed: () => void;
}

/** Time from a start to its confirmation, in milliseconds: the first answer takes some of it. */
const CONFIRM_AFTER_MS = PROVEN_MS + 50;

/**
 * Learns soon whether targets have borne the tasks that may have crashed others.
 *
 * Guards against a target that is kept for one task for a second or more, until its next report,
 * and against a crash by chance that falls into that time and is taken for the task's doing.
 */
export class RunConfirmations {
  private readonly options: RunConfirmationsOptions;

  /**
   * Confirms nothing yet.
   * @param options - The port to targets, and what is known of runs.
   */
  constructor(options: RunConfirmationsOptions) {
    this.options = options;
  }

  /**
   * Sends the start of a run again a little later: that changes nothing where it has begun, and the
   * answer shows that the target has borne it until then.
   * @param taskName - Name of the task.
   * @returns Resolves once there is an answer, or none came.
   */
  async confirmSoon(taskName: string): Promise<void> {
    const { find, onConfirmed } = this.options;
    const run = find(taskName)?.run;
    await sleep(CONFIRM_AFTER_MS, undefined, { ref: false });
    const begun = find(taskName);
    if (begun?.isRunning !== true || begun.run !== run) return;
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
    } catch (thrown) {
      events.write('startUnanswered', { taskName, run, targetId, term, reason: String(thrown) });
    }
  }
}
