import type { RunningTaskReport } from '../targets/index.js';

/** Progress at which a long-running task is at work. */
const AT_WORK_PERCENT = 100;

interface Progress {
  readonly run: number;
  readonly percent: number;
}

/** How far running tasks are, by the latest report of their targets. */
export class TaskProgress {
  private readonly byTask = new Map<string, Progress>();

  /**
   * Takes the report of a target.
   * @param running - What runs there.
   */
  note(running: readonly RunningTaskReport[]): void {
    running.forEach(({ taskName, run, progressPercent: percent }) =>
      this.byTask.set(taskName, { run, percent }),
    );
  }

  /**
   * Forgets a run that is over or about to be stopped.
   * @param taskName - Name of the task.
   */
  forget(taskName: string): void {
    this.byTask.delete(taskName);
  }

  /**
   * Tells whether a run of a long-running task is at work.
   * @param taskName - Name of the task.
   * @param run - Number of the run.
   * @returns Whether the latest report says so.
   */
  isAtWork(taskName: string, run: number): boolean {
    const progress = this.byTask.get(taskName);
    return progress?.run === run && progress.percent >= AT_WORK_PERCENT;
  }
}
