import {
  countLateFailure,
  type DurableJobRow,
  endRun,
  isFinished,
  isUnheardRun,
  listOtherGangTasks,
  nameTask,
  noteUnheardRun,
  type RunEnd,
  type TaskRow,
} from '../jobs/index.js';
import { areOfSameTarget } from '../targets/index.js';
import type { Clock } from '../utils/index.js';
import type { JobBeginnings } from './JobBeginnings.js';
import type { JobTable, PlacedTask } from './JobTable.js';
import type { JobTelemetry } from './JobTelemetry.js';
import type { RunKey } from './RunKey.js';
import type { RunTimer } from './RunTimer.js';
import type { TargetHealth } from './TargetHealth.js';
import type { TargetLossReason } from './TargetSessions.js';
import type { TaskOrders } from './TaskOrders.js';
import type { TaskProgress } from './TaskProgress.js';
import type { UnevenTargets } from './UnevenTargets.js';

/** End of a run whose target has not reported any. */
export const LAPSED: RunEnd = { end: 'lapsed', checkpoint: undefined };

/**
 * Losses that are known from a list alone. If the list is wrong, the target may report ends later,
 * and no lapse of its lease excuses a failure.
 */
const LISTED_LOSSES: ReadonlySet<TargetLossReason> = new Set(['unlisted', 'crashed']);

/** Options of {@link RunEnds}. */
export interface RunEndsOptions {
  readonly table: JobTable;
  readonly orders: Pick<TaskOrders, 'abandon' | 'forget' | 'isOrdered'>;
  readonly beginnings: JobBeginnings;
  readonly health: TargetHealth;
  readonly progress: TaskProgress;
  readonly uneven: Pick<UnevenTargets, 'noteEnd'>;
  readonly timer: RunTimer;
  readonly telemetry: JobTelemetry;
  readonly clock: Clock;
}

/** Applies the ends of runs to the jobs of a home. */
export class RunEnds {
  private readonly options: RunEndsOptions;

  /**
   * Creates a handler of ends.
   * @param options - Jobs, orders, and what is learned from the ends of runs.
   */
  constructor(options: RunEndsOptions) {
    this.options = options;
  }

  /**
   * Applies an end that a target has reported. The target discards it once this home has stored its
   * changes.
   * @param reported - The run.
   * @param runEnd - How it ended.
   */
  applyReported(reported: RunKey, runEnd: RunEnd): void {
    const { table, telemetry } = this.options;
    const key = this.nameOrdered(reported);
    this.options.beginnings.note(key.taskName);
    const expected = table.findPlaced(key);
    const found = expected ?? this.findCompleted(key, runEnd);
    const isCounted = expected === undefined && this.countLateFailure(key, runEnd);
    if (found === undefined && !isCounted) telemetry.noteIgnoredEnd(table, key, runEnd.end);
    this.applyTo(found, key, runEnd, expected === undefined ? 'reported-unexpected' : 'reported');
  }

  /**
   * Applies the end of a run, unless its task has another run by now.
   * @param key - The run.
   * @param runEnd - How it ended.
   * @param source - How this home learned of the end.
   */
  apply(key: RunKey, runEnd: RunEnd, source: string): void {
    this.applyTo(this.options.table.findPlaced(key), key, runEnd, source);
  }

  /**
   * Ends a run on a target on which nothing runs any more.
   * @param key - The run.
   * @param reason - How the loss became known.
   */
  applyLoss(key: RunKey, reason: TargetLossReason): void {
    const { table } = this.options;
    const placed = table.findPlaced(key);
    this.applyTo(placed, key, LAPSED, reason);
    const lost = placed && table.findTask(key.taskName);
    if (lost === undefined || !LISTED_LOSSES.has(reason)) return;
    table.put(noteUnheardRun(lost.row, lost.position, key.run));
  }

  /**
   * Names the lifetime from which a run was ordered. Its start may have reached the next lifetime
   * of the target, and then that one reports its end.
   */
  private nameOrdered(reported: RunKey): RunKey {
    const { run, targetId } = this.options.table.findTask(reported.taskName)?.task ?? {};
    const isOrdered = run === reported.run && targetId !== undefined;
    if (!isOrdered || !areOfSameTarget(targetId, reported.targetId)) return reported;
    return { ...reported, targetId };
  }

  /** Counts the failure of a run that was given up as its target was listed as gone. */
  private countLateFailure(key: RunKey, runEnd: RunEnd): boolean {
    const { table, health, clock, telemetry } = this.options;
    const found = table.findTask(key.taskName);
    if (found === undefined || runEnd.end !== 'failed') return false;
    const { row, position } = found;
    if (!isUnheardRun(row, position, key.run)) return false;
    const { jobId } = row.spec;
    telemetry.noteEnded(jobId, key, runEnd, 'reported-unexpected');
    health.noteFailure(key.targetId, jobId, key.taskName);
    const counted = countLateFailure(row, position, key.run, clock.wallMs());
    table.put(counted);
    if (isFinished(counted)) telemetry.noteFinished(counted);
    return true;
  }

  /**
   * Finds a task that a run has completed although this home does not expect it, for example after
   * the lease of the target had lapsed. If the end were ignored, the target would discard it, and
   * the task would run again. A failure is left out: each new home hears of it until one of them
   * acknowledges it, so it would count more than once. See {@link countLateFailure}.
   */
  private findCompleted(key: RunKey, { end }: RunEnd): PlacedTask | undefined {
    const { table } = this.options;
    const found = table.findTask(key.taskName);
    if (found === undefined || end !== 'done' || isFinished(found.row)) return undefined;
    const { isLongRunning } = found.row.spec.steps[found.task.step]!;
    return isLongRunning || found.task.phase === 'done' ? undefined : found;
  }

  private applyTo(
    found: PlacedTask | undefined,
    key: RunKey,
    runEnd: RunEnd,
    source: string,
  ): void {
    const { table, orders, clock, telemetry } = this.options;
    const { taskName } = key;
    if (orders.isOrdered(key)) orders.forget(taskName);
    if (found === undefined) return;
    telemetry.noteEnded(found.row.spec.jobId, key, runEnd, source);
    this.learn(found, key, runEnd);
    const row = endRun(found.row, found.position, runEnd, clock.wallMs());
    this.dropOrdersOfDoneTasks(found, row, key);
    table.put(row);
    if (isFinished(row) && !isFinished(found.row)) telemetry.noteFinished(row);
  }

  private learn({ row, position }: PlacedTask, key: RunKey, { end }: RunEnd): void {
    const { health, progress, timer, uneven } = this.options;
    const { taskName, targetId } = key;
    progress.forget(taskName);
    uneven.noteEnd(key, row, end);
    const { run, checkpoint } = row.tasks[position]!;
    // The time is that of the latest run, which is only the rest of the work if it has resumed.
    const isMeasured = run === key.run && checkpoint === undefined;
    timer.end(taskName, row, position, end === 'done' && isMeasured);
    if (end === 'done') {
      health.noteSuccess(targetId);
      progress.forgetStalls(taskName);
    }
    if (end === 'failed') health.noteFailure(targetId, row.spec.jobId, taskName);
  }

  /** Drops the orders of tasks that this end has completed; members of a gang end together. */
  private dropOrdersOfDoneTasks(found: PlacedTask, after: DurableJobRow, ended: RunKey): void {
    const { row: before, position } = found;
    [position, ...listOtherGangTasks(before, position)]
      .filter((member) => after.tasks[member]!.phase === 'done')
      .map((member) => before.tasks[member]!)
      .filter(({ phase }) => phase === 'placed')
      .forEach((task) => this.dropOrder(nameTask(before, task), task, ended));
  }

  /** Drops the order for the current run of a task, and stops that run if it goes on by itself. */
  private dropOrder(taskName: string, { run }: TaskRow, ended: RunKey): void {
    const { orders } = this.options;
    if (run === ended.run) orders.forget(taskName);
    else orders.abandon(taskName);
  }
}
