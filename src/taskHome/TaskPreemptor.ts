import { type DurableJobRow, isFinished, nameTask } from '../jobs/index.js';
import {
  type Mechanisms,
  type PlanTaskPreemptionsInput,
  planTaskPreemptions,
  type PreemptibleRun,
} from '../systems/index.js';
import type { Clock } from '../utils/index.js';
import type { JobTable } from './JobTable.js';
import type { JobTelemetry } from './JobTelemetry.js';
import type { TaskOrders } from './TaskOrders.js';
import type { TaskProgress } from './TaskProgress.js';

/** Options of {@link TaskPreemptor}. */
export interface TaskPreemptorOptions {
  readonly table: JobTable;
  readonly orders: Pick<TaskOrders, 'find' | 'isStopping' | 'stop'>;
  readonly progress: TaskProgress;
  readonly telemetry: JobTelemetry;
  readonly mechanisms: Mechanisms;
  readonly clock: Clock;
  /** Tells whether this instance is certain to be the home still. */
  readonly isGroupLeaseHeld: () => boolean;
}

/** State of the home after a round of placement. */
export type PlacementState = Omit<PlanTaskPreemptionsInput, 'getRun'>;

/**
 * Time for which a task that was stopped for another one is not stopped again once it runs, in
 * milliseconds, so that it makes progress between two stops.
 */
const PROTECTED_MS = 10_000;

/**
 * Stops runs whose room more urgent work needs.
 *
 * A stop only orders the run's end: its task waits again once the target has reported that end,
 * with its checkpoint, so a home that is replaced in between leaves nothing undone. An instance
 * that may not be the home stops none, as it could not start them again.
 */
export class TaskPreemptor {
  private readonly options: TaskPreemptorOptions;

  /** Names of the unfinished tasks that were stopped for others. */
  private readonly stoppedTasks = new Set<string>();

  /**
   * Creates a preemptor that has stopped nothing.
   * @param options - Jobs, orders and progress of the home.
   */
  constructor(options: TaskPreemptorOptions) {
    this.options = options;
  }

  /**
   * Stops tasks of less urgent queues so that tasks that found no room get theirs.
   * @param state - What waits and what is placed.
   */
  makeRoom(state: PlacementState): void {
    const { table, mechanisms, telemetry, isGroupLeaseHeld } = this.options;
    if (!mechanisms.has('urgent-work-preempts') || !isGroupLeaseHeld()) return;
    const getRun = (row: DurableJobRow, position: number): PreemptibleRun =>
      this.getRun(row, position);
    const preemptions = planTaskPreemptions({ ...state, getRun });
    if (preemptions.length > 0) this.forgetFinished();
    preemptions.forEach(({ jobId, position, forJobId, lostWork }) => {
      const row = table.getActive(jobId)!;
      telemetry.notePreempted(row, position, { forJobId, lostWork });
      this.stop(row, position);
    });
  }

  private getRun(row: DurableJobRow, position: number): PreemptibleRun {
    const { orders, progress } = this.options;
    const task = row.tasks[position]!;
    const taskName = nameTask(row, task);
    if (orders.isStopping(taskName)) return { type: 'stopping' };
    const progressPercent = progress.getPercent(taskName, task.run);
    if (progressPercent === undefined) return { type: 'protected' };
    const { isCheckpointing } = row.spec.steps[task.step]!;
    const isProtected = this.isProtected(taskName, isCheckpointing);
    return isProtected ? { type: 'protected' } : { type: 'running', progressPercent };
  }

  /** Without checkpoints, a second stop would lose the work once more, so there is none. */
  private isProtected(taskName: string, isCheckpointing: boolean): boolean {
    const { orders, clock } = this.options;
    if (!this.stoppedTasks.has(taskName)) return false;
    const begunAtMs = orders.find(taskName)?.begunAtMs;
    const isRecent = begunAtMs === undefined || clock.monotonicMs() - begunAtMs < PROTECTED_MS;
    return isRecent || !isCheckpointing;
  }

  private forgetFinished(): void {
    [...this.stoppedTasks]
      .filter((taskName) => this.isDone(taskName))
      .forEach((taskName) => this.stoppedTasks.delete(taskName));
  }

  private isDone(taskName: string): boolean {
    const found = this.options.table.findTask(taskName);
    return found === undefined || isFinished(found.row) || found.task.phase === 'done';
  }

  private stop(row: DurableJobRow, position: number): void {
    const { orders, progress } = this.options;
    const taskName = nameTask(row, row.tasks[position]!);
    this.stoppedTasks.add(taskName);
    progress.forget(taskName);
    orders.stop(taskName);
  }
}
