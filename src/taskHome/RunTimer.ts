import type { DurableJobRow } from '../jobs/index.js';
import { RunTimes } from '../systems/index.js';
import type { Clock } from '../utils/index.js';

/** Times runs from their placement to their end, and learns from those that are done. */
export class RunTimer {
  /** What has been learned. */
  readonly runTimes = new RunTimes();

  private readonly clock: Clock;

  /** When the runs under way were placed, by the monotonic clock. */
  private readonly placedAtMs = new Map<string, number>();

  /**
   * Starts without runs.
   * @param clock - Times the runs.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Takes note of a placement.
   * @param taskName - Name of the task.
   */
  begin(taskName: string): void {
    this.placedAtMs.set(taskName, this.clock.monotonicMs());
  }

  /**
   * Takes note of an end.
   * @param taskName - Name of the task.
   * @param row - Its job.
   * @param position - Its place among the job's tasks.
   * @param isDone - Whether the run came to its own end.
   */
  end(taskName: string, { spec, tasks }: DurableJobRow, position: number, isDone: boolean): void {
    const placedAtMs = this.placedAtMs.get(taskName);
    this.placedAtMs.delete(taskName);
    if (placedAtMs === undefined || !isDone) return;
    const { estimatedRunMs } = spec.steps[tasks[position]!.step]!;
    this.runTimes.note(spec.terms.queue, estimatedRunMs, this.clock.monotonicMs() - placedAtMs);
  }
}
