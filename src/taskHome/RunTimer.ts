import type { DurableJobRow } from '../jobs/index.js';
import { ALL_MECHANISMS, type Mechanisms, RunTimes } from '../systems/index.js';
import type { Clock } from '../utils/index.js';

/** Measures runs from placement to end, and learns run times from those that are done. */
export class RunTimer {
  /** The run times learned so far. */
  readonly runTimes: RunTimes;

  private readonly clock: Clock;

  /** Monotonic time at which each current run was placed, by task name. */
  private readonly placedAtMs = new Map<string, number>();

  /**
   * Starts without runs.
   * @param clock - Clock that measures the runs.
   * @param mechanisms - Mechanisms that are switched on; all by default.
   */
  constructor(clock: Clock, mechanisms: Mechanisms = ALL_MECHANISMS) {
    this.clock = clock;
    this.runTimes = new RunTimes(mechanisms.has('learned-run-times'));
  }

  /**
   * Records the placement of a run.
   * @param taskName - Name of the task.
   */
  begin(taskName: string): void {
    this.placedAtMs.set(taskName, this.clock.monotonicMs());
  }

  /**
   * Records the end of a run.
   * @param taskName - Name of the task.
   * @param row - Its job.
   * @param position - Index of the task among the job's tasks.
   * @param isDone - Whether the run completed; only completed runs are learned from.
   */
  end(taskName: string, { spec, tasks }: DurableJobRow, position: number, isDone: boolean): void {
    const placedAtMs = this.placedAtMs.get(taskName);
    this.placedAtMs.delete(taskName);
    if (placedAtMs === undefined || !isDone) return;
    const { estimatedRunMs: declaredMs, image } = spec.steps[tasks[position]!.step]!;
    const runMs = this.clock.monotonicMs() - placedAtMs;
    this.runTimes.record({ queue: spec.terms.queue, image, declaredMs, runMs });
  }
}
