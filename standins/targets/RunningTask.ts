import type { Clock } from '../../src/utils/index.js';

/** Why a task is over. */
export type TaskEnding = 'done' | 'failed' | 'stopped' | 'lease-lapsed' | 'cut' | 'out-of-memory';

/** Options of {@link RunningTask}. */
export interface RunningTaskOptions {
  readonly clock: Clock;
  readonly taskId: string;
  readonly requestId: string;
  readonly coreCount: number;
  /** Memory that the task really uses. */
  readonly memoryMb: number;
  /** Work that is left, at full speed. */
  readonly remainingMs: number;
  /** Wall-clock time at which the task is stopped unless its lease is renewed. */
  readonly leaseDeadlineMs: number;
}

const FULL_SPEED = 1;
const THROTTLED_SPEED = 0.25;
const MAX_TIMER_MS = 2 ** 31 - 1;

/** A task on a VM: its progress, its speed and its lease. */
export class RunningTask {
  readonly taskId: string;

  readonly requestId: string;

  readonly memoryMb: number;

  /** Resolves with the reason when the task is over. */
  readonly ended: Promise<TaskEnding>;

  private readonly options: RunningTaskOptions;

  private readonly resolveEnded: (ending: TaskEnding) => void;

  private remainingMs: number;

  private speed = FULL_SPEED;

  private resumedAtMs: number;

  private runTimer: NodeJS.Timeout | undefined;

  private leaseTimer: NodeJS.Timeout | undefined;

  /**
   * Starts the task.
   * @param options - What runs, for how long and until which deadline.
   */
  constructor(options: RunningTaskOptions) {
    this.options = options;
    this.taskId = options.taskId;
    this.requestId = options.requestId;
    this.memoryMb = options.memoryMb;
    this.remainingMs = options.remainingMs;
    this.resumedAtMs = options.clock.monotonicMs();
    let resolveEnded: (ending: TaskEnding) => void = () => undefined;
    this.ended = new Promise((resolve) => {
      resolveEnded = resolve;
    });
    this.resolveEnded = resolveEnded;
    this.schedule();
    this.renewLease(options.leaseDeadlineMs);
  }

  /** Cores that the task keeps busy at its present speed. */
  get coreCount(): number {
    return this.options.coreCount * this.speed;
  }

  /**
   * Slows the task down or lets it run at full speed again.
   * @param throttled - Whether to slow it down.
   */
  setThrottled(throttled: boolean): void {
    this.remainingMs = this.getRemainingMs();
    this.resumedAtMs = this.options.clock.monotonicMs();
    this.speed = throttled ? THROTTLED_SPEED : FULL_SPEED;
    this.schedule();
  }

  /**
   * Gets the work that is left.
   * @returns Milliseconds at full speed.
   */
  getRemainingMs(): number {
    const ranMs = (this.options.clock.monotonicMs() - this.resumedAtMs) * this.speed;
    return Math.max(0, this.remainingMs - ranMs);
  }

  /**
   * Moves the end of the lease.
   * @param leaseDeadlineMs - New wall-clock deadline.
   */
  renewLease(leaseDeadlineMs: number): void {
    clearTimeout(this.leaseTimer);
    const leftMs = Math.min(MAX_TIMER_MS, leaseDeadlineMs - this.options.clock.wallMs());
    this.leaseTimer = setTimeout(() => this.end('lease-lapsed'), leftMs);
  }

  /**
   * Ends the task.
   * @param ending - Why.
   */
  end(ending: TaskEnding): void {
    clearTimeout(this.runTimer);
    clearTimeout(this.leaseTimer);
    this.resolveEnded(ending);
  }

  private schedule(): void {
    clearTimeout(this.runTimer);
    const leftMs = Math.min(MAX_TIMER_MS, this.remainingMs / this.speed);
    this.runTimer = setTimeout(() => this.end('done'), leftMs);
  }
}
