import type { RunKey } from './RunKey.js';
import type { TargetCallOptions } from './TargetCallOptions.js';

/** Options of {@link StrayRuns}. */
export type StrayRunsOptions = Pick<TargetCallOptions, 'events' | 'getAddress' | 'port' | 'term'>;

/** Stops runs that targets report although this home has not ordered them, such as late starts. */
export class StrayRuns {
  private readonly options: StrayRunsOptions;

  private readonly targetIds = new Set<string>();

  /**
   * Starts without stray runs.
   * @param options - The port to targets.
   */
  constructor(options: StrayRunsOptions) {
    this.options = options;
  }

  /**
   * Stops the stray runs on a target.
   * @param targetId - The target.
   * @param strays - The stray runs in its latest report.
   */
  update(targetId: string, strays: readonly RunKey[]): void {
    if (strays.length === 0) this.targetIds.delete(targetId);
    else this.targetIds.add(targetId);
    strays.forEach((stray) => this.stop(stray));
  }

  /**
   * Tells whether a target has stray runs, which take up capacity until their end is reported.
   * @param targetId - The target.
   * @returns Whether its latest report shows any.
   */
  hasRunsOn(targetId: string): boolean {
    return this.targetIds.has(targetId);
  }

  /**
   * Forgets a target whose lifetime is over.
   * @param targetId - The target.
   */
  forgetTarget(targetId: string): void {
    this.targetIds.delete(targetId);
  }

  private stop({ taskName, run, targetId }: RunKey): void {
    const { events, term, port, getAddress } = this.options;
    const address = getAddress(targetId);
    events.write('strayTask', { taskName, run, targetId, term });
    if (address === undefined) return;
    port.stop(address, taskName, run, term).catch((thrown: unknown) => {
      events.write('stopUnanswered', { taskName, run, targetId, term, reason: String(thrown) });
    });
  }
}
