import { type DurableJobRow, nameTask } from '../jobs/index.js';
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
  readonly orders: Pick<TaskOrders, 'isStopping' | 'stop'>;
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
 * Time for which a task that was stopped for another one is not stopped again, in milliseconds. It
 * outlasts a load peak, so that a task makes progress between two stops.
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

  /** Until when each stopped task is protected, by the monotonic clock. */
  private readonly protectedUntilMs = new Map<string, number>();

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
    planTaskPreemptions({ ...state, getRun }).forEach((preemption) => {
      const { jobId, position, forJobId, lostWork } = preemption;
      const row = table.getActive(jobId)!;
      telemetry.notePreempted(row, position, { forJobId, lostWork });
      this.stop(row, position);
    });
  }

  private getRun(row: DurableJobRow, position: number): PreemptibleRun {
    const { orders, progress, clock } = this.options;
    const task = row.tasks[position]!;
    const taskName = nameTask(row, task);
    if (orders.isStopping(taskName)) return { type: 'stopping' };
    const protectedUntilMs = this.protectedUntilMs.get(taskName) ?? -Infinity;
    const progressPercent = progress.getPercent(taskName, task.run);
    const isProtected = clock.monotonicMs() < protectedUntilMs || progressPercent === undefined;
    return isProtected ? { type: 'protected' } : { type: 'running', progressPercent };
  }

  private stop(row: DurableJobRow, position: number): void {
    const { orders, progress, clock } = this.options;
    const nowMs = clock.monotonicMs();
    [...this.protectedUntilMs]
      .filter(([, untilMs]) => untilMs <= nowMs)
      .forEach(([taskName]) => this.protectedUntilMs.delete(taskName));
    const taskName = nameTask(row, row.tasks[position]!);
    this.protectedUntilMs.set(taskName, nowMs + PROTECTED_MS);
    progress.forget(taskName);
    orders.stop(taskName);
  }
}
