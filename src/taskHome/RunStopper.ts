import {
  type DurableJobRow,
  isFinished,
  listOtherGangTasks,
  listPlacedTasks,
  nameTask,
  type TaskRow,
  unplaceTask,
} from '../jobs/index.js';
import type { EventLog } from '../logging/index.js';
import { planEvacuations } from '../systems/index.js';
import type { RunningTaskReport } from '../targets/index.js';
import type { JobTable } from './JobTable.js';
import type { TargetHealth } from './TargetHealth.js';
import type { TaskOrders } from './TaskOrders.js';
import type { TaskProgress } from './TaskProgress.js';

/** Options of {@link RunStopper}. */
export interface RunStopperOptions {
  readonly table: JobTable;
  readonly orders: Pick<TaskOrders, 'forget' | 'isStopping' | 'isUnsent' | 'stop'>;
  readonly health: TargetHealth;
  readonly progress: TaskProgress;
  /** Whether this instance is certain to be the home at this moment. */
  readonly isGroupLeaseHeld: () => boolean;
  readonly events: EventLog;
}

interface ReportAges {
  readonly reportAgeMs: number | undefined;
  /** Age of the oldest report that says that a task of the same step is at work. */
  readonly oldestReportAgeMs: number;
}

/**
 * Decides which runs of a home's tasks are stopped before they end by themselves, and stops them.
 */
export class RunStopper {
  private readonly options: RunStopperOptions;

  /**
   * Creates a stopper for the runs of one home.
   * @param options - Jobs, orders, and the state of targets and runs.
   */
  constructor(options: RunStopperOptions) {
    this.options = options;
  }

  /**
   * Stops long-running tasks on targets that are being drained, as far as their steps allow.
   *
   * An instance that may not be the home stops none: it could not start them again, and the next
   * home may have stopped others of their steps.
   * @param drainedTargets - Ids of the targets.
   */
  evacuate(drainedTargets: ReadonlySet<string>): void {
    const { table, events, isGroupLeaseHeld } = this.options;
    if (drainedTargets.size === 0 || !isGroupLeaseHeld()) return;
    const evacuations = planEvacuations({
      jobs: table.listActive(),
      drainedTargets,
      isRunning: (row, position) => this.isAtWork(row, row.tasks[position]!),
    });
    evacuations.forEach(({ jobId, position }) => {
      const row = table.getActive(jobId)!;
      const task = row.tasks[position]!;
      const taskName = nameTask(row, task);
      const { targetId, run } = task;
      const ages = this.getReportAges(row, task);
      events.write('taskEvacuated', { jobId, taskName, run, targetId, ...ages });
      this.stopForRestart(taskName);
    });
  }

  /** Stops the runs of jobs that are cancelled or have failed. */
  stopFinished(): void {
    this.options.table
      .listActive()
      .filter(isFinished)
      .forEach((row) =>
        listPlacedTasks(row).forEach(({ task, position }) => this.stopTask(row, task, position)),
      );
  }

  /**
   * Stops stalled tasks, so that they start again on another target. An instance that may not be
   * the home stops none, as it could not start them again.
   * @param targetId - The target.
   * @param running - The tasks that it reports as running.
   */
  stopStalled(targetId: string, running: readonly RunningTaskReport[]): void {
    const { table, progress, health, events, isGroupLeaseHeld } = this.options;
    if (!isGroupLeaseHeld()) return;
    running
      .filter(({ taskName, run }) => {
        const step = table.getStep(taskName);
        return step?.isGang === false && progress.isStalled(taskName, run, step.estimatedRunMs);
      })
      .forEach(({ taskName, run, progressPercent }) => {
        events.write('taskStalled', { taskName, run, targetId, progressPercent });
        health.noteStall(targetId);
        progress.noteStall(taskName);
        this.stopForRestart(taskName);
      });
  }

  /**
   * Stops the other members of a gang if one member could not start. Otherwise they would hold
   * their targets until the wait for that member ends, and count as unsuccessful starts.
   * @param row - The job.
   * @param position - Index of the member among the job's tasks.
   */
  stopGangMates(row: DurableJobRow, position: number): void {
    listOtherGangTasks(row, position).forEach((place) =>
      this.options.orders.stop(nameTask(row, row.tasks[place]!)),
    );
  }

  /**
   * Stops a run whose task continues on another target; the next run starts with new progress.
   * @param taskName - Name of the task.
   */
  stopForRestart(taskName: string): void {
    this.options.progress.forget(taskName);
    this.options.orders.stop(taskName);
  }

  /**
   * Tells whether a long-running task is at work and is not being stopped. A target reports a run
   * that is being stopped until it has ended; if that run counted as at work, a second task of the
   * step could be stopped.
   */
  private isAtWork(row: DurableJobRow, task: TaskRow): boolean {
    const { orders, progress } = this.options;
    const taskName = nameTask(row, task);
    if (task.phase !== 'placed' || orders.isStopping(taskName)) return false;
    return progress.isAtWork(taskName, task.run);
  }

  /** Tells how old the reports may be by which a task of a step is stopped, in milliseconds. */
  private getReportAges(row: DurableJobRow, task: TaskRow): ReportAges {
    const { progress } = this.options;
    const getAgeMs = (other: TaskRow): number | undefined =>
      progress.getReportAgeMs(nameTask(row, other));
    const agesMs = row.tasks
      .filter(({ occurrence, step }) => occurrence === task.occurrence && step === task.step)
      .filter((other) => this.isAtWork(row, other))
      .map((other) => getAgeMs(other)!);
    return { reportAgeMs: getAgeMs(task), oldestReportAgeMs: Math.max(...agesMs) };
  }

  private stopTask(row: DurableJobRow, task: TaskRow, position: number): void {
    const { orders, table } = this.options;
    const taskName = nameTask(row, task);
    if (!orders.isUnsent(taskName)) {
      orders.stop(taskName);
      return;
    }
    orders.forget(taskName);
    const current = table.getActive(row.spec.jobId)!;
    table.put(unplaceTask(current, position));
  }
}
