import { unplaceTask } from '../jobs/index.js';
import type { StartRefusal } from '../targets/index.js';
import type { JobTable } from './JobTable.js';
import type { RunEnds } from './RunEnds.js';
import type { RunKey } from './RunKey.js';
import type { RunStopper } from './RunStopper.js';
import type { TargetHealth } from './TargetHealth.js';

/** Options of {@link UnbegunRuns}. */
export interface UnbegunRunsOptions {
  readonly table: JobTable;
  readonly health: Pick<TargetHealth, 'noteRefusal'>;
  readonly stopper: Pick<RunStopper, 'stopGangMates'>;
  readonly ends: Pick<RunEnds, 'apply'>;
  /** Called when a job has changed, so that it is stored and the tasks that fit are placed. */
  readonly onChanged: () => void;
}

/** Handles runs that targets refused to start, or that were never started. */
export class UnbegunRuns {
  private readonly options: UnbegunRunsOptions;

  /**
   * Creates a handler of runs that have not begun.
   * @param options - Jobs, runs, and the state of targets.
   */
  constructor(options: UnbegunRunsOptions) {
    this.options = options;
  }

  /**
   * Records a refusal. Without this member the others of its gang can't work, begun or not.
   * @param key - The run.
   * @param reason - Why the target refused it.
   */
  noteRefusal(key: RunKey, reason: StartRefusal): void {
    const { health, stopper, table } = this.options;
    const isOfTarget = reason !== 'malformed' && reason !== 'lease-past';
    if (isOfTarget) health.noteRefusal(key.targetId);
    const found = table.findPlaced(key);
    if (found !== undefined) stopper.stopGangMates(found.row, found.position);
  }

  /**
   * Handles a run that its target did not start and never will.
   * @param key - The run.
   * @param reason - Why the target refused it.
   */
  handleNeverBegins(key: RunKey, reason: StartRefusal): void {
    const { ends, onChanged } = this.options;
    if (reason === 'malformed') {
      ends.apply(key, { end: 'failed', checkpoint: undefined }, reason);
      return;
    }
    this.returnToWaiting(key);
    onChanged();
  }

  /**
   * Makes a task wait again whose run has not begun and never will. The caller reports the change,
   * or leaves it to the next round, so that a withdrawn task is not placed again at once.
   * @param key - The run.
   */
  returnToWaiting(key: RunKey): void {
    const { stopper, table } = this.options;
    const found = table.findPlaced(key);
    if (found === undefined) return;
    stopper.stopGangMates(found.row, found.position);
    table.put(unplaceTask(found.row, found.position));
  }
}
