import type { EventLog } from '../logging/index.js';
import type { LeasedTargetAddress, LeasedTargetPort } from '../targets/index.js';
import type { RunKey } from './RunKey.js';

/** Options of {@link LapsedStarts}. */
export interface LapsedStartsOptions {
  readonly targets: Pick<LeasedTargetPort, 'stop'>;
  readonly term: number;
  readonly events: EventLog;
}

/**
 * Runs whose target counted as lost, as its lease had lapsed, before their starts were answered.
 *
 * Such a start may take effect seconds later. The target refuses it for its own deadline only as
 * long as nobody extends the lease, while the task may run elsewhere by then. So once the same
 * lifetime is back, its lease is not extended before it has accepted a stop of each of these runs.
 */
export class LapsedStarts {
  private readonly options: LapsedStartsOptions;

  private readonly byTarget = new Map<string, readonly RunKey[]>();

  /**
   * Starts without runs.
   * @param options - The port to targets.
   */
  constructor(options: LapsedStartsOptions) {
    this.options = options;
  }

  /**
   * Records runs on a target whose lease has lapsed.
   * @param targetId - Id of the lifetime.
   * @param runs - The runs of which a start has no answer.
   */
  add(targetId: string, runs: readonly RunKey[]): void {
    this.replace(targetId, [...this.list(targetId), ...runs]);
  }

  /**
   * Tells whether a start from before a lapse may still take effect on a target.
   * @param targetId - Id of the lifetime.
   * @returns Whether the target has not accepted a stop of each such run.
   */
  has(targetId: string): boolean {
    return this.byTarget.has(targetId);
  }

  /**
   * Forgets the runs on a target whose lifetime is over.
   * @param targetId - Id of the lifetime.
   */
  forget(targetId: string): void {
    this.byTarget.delete(targetId);
  }

  /**
   * Stops the runs on a target that is back.
   * @param target - The target.
   * @returns Resolves once each stop was answered or has failed; a failed one is to be repeated.
   */
  async stopOn(target: LeasedTargetAddress): Promise<void> {
    await Promise.all(this.list(target.targetId).map((key) => this.stop(target, key)));
  }

  private async stop(target: LeasedTargetAddress, key: RunKey): Promise<void> {
    const { targets, term, events } = this.options;
    const { taskName, run, targetId } = key;
    try {
      const answer = await targets.stop(target, taskName, run, term);
      // A refusal for the term or the lifetime also ends the session, with its next renewal.
      if (answer.type !== 'accepted') return;
      const others = this.list(targetId).filter((other) => other !== key);
      this.replace(targetId, others);
    } catch (thrown) {
      events.write('stopUnanswered', { taskName, run, targetId, term, reason: String(thrown) });
    }
  }

  private list(targetId: string): readonly RunKey[] {
    return this.byTarget.get(targetId) ?? [];
  }

  private replace(targetId: string, runs: readonly RunKey[]): void {
    if (runs.length === 0) this.byTarget.delete(targetId);
    else this.byTarget.set(targetId, runs);
  }
}
