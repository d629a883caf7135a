import type {
  EndedTaskReport,
  LeaseAnswer,
  LeaseRenewal,
  CommandAnswer,
  RunningTaskReport,
  StartAnswer,
  TaskEnd,
  TaskStart,
} from '../../src/targets/index.js';
import type { Clock } from '../../src/utils/index.js';

/** What runs on a target. */
interface Running {
  readonly start: TaskStart;
  progressPercent: number;
}

/** A run that was killed as nobody renewed the lease. */
export interface LapsedRun {
  readonly taskName: string;
  readonly run: number;
  /** When the lease ended, by the target's monotonic clock. */
  readonly atMs: number;
}

/** One lifetime of a target: what it runs, what has ended, and which term it has seen. */
export class LeasedTarget {
  /** Runs that were killed for the lease, in order; those of others' questions count at once. */
  readonly lapsedRuns: LapsedRun[] = [];

  private readonly clock: Clock;

  private readonly running = new Map<string, Running>();

  private ended: EndedTaskReport[] = [];

  private readonly highestEndedRuns = new Map<string, number>();

  private lastEndNumber = 0;

  private highestTerm = 0;

  private leaseUntilMs = 0;

  /**
   * Creates an empty target.
   * @param clock - Clock of the target.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** When the lease ends, by the target's monotonic clock. */
  get leaseEndsAtMs(): number {
    return this.leaseUntilMs;
  }

  /** Tasks that run at this moment. */
  get runningNames(): readonly string[] {
    this.lapse();
    return [...this.running.keys()];
  }

  /** Ends that nobody has acknowledged. */
  get unacknowledged(): readonly EndedTaskReport[] {
    return this.ended;
  }

  /** Carries a start out. */
  start(start: TaskStart): StartAnswer {
    this.lapse();
    const targetClockMs = this.clock.monotonicMs();
    const refuse = (reason: 'stale-term' | 'stale-run' | 'lease-past'): StartAnswer => ({
      type: 'refused',
      reason,
      targetClockMs,
    });
    if (start.term < this.highestTerm) return refuse('stale-term');
    this.highestTerm = start.term;
    if (this.running.get(start.taskName)?.start.run === start.run) {
      return { type: 'started', targetClockMs };
    }
    if (start.run <= (this.highestEndedRuns.get(start.taskName) ?? 0)) return refuse('stale-run');
    this.leaseUntilMs = Math.max(this.leaseUntilMs, start.leaseUntilTargetMs);
    if (this.leaseUntilMs <= targetClockMs) return refuse('lease-past');
    this.running.set(start.taskName, { start, progressPercent: 100 });
    return { type: 'started', targetClockMs };
  }

  /** Carries a stop out; a run that is not there is refused from then on. */
  stop(taskName: string, run: number, term: number): CommandAnswer {
    this.lapse();
    if (term < this.highestTerm) return { type: 'refused', reason: 'stale-term' };
    this.highestTerm = term;
    if (this.running.get(taskName)?.start.run === run) this.end(taskName, 'stopped');
    else this.noteEndedRun(taskName, run);
    return { type: 'accepted' };
  }

  /** Carries a renewal out. */
  renew(renewal: LeaseRenewal): LeaseAnswer {
    this.lapse();
    if (renewal.term < this.highestTerm) return { type: 'stale-term' };
    this.highestTerm = renewal.term;
    this.leaseUntilMs = Math.max(this.leaseUntilMs, renewal.leaseUntilTargetMs ?? 0);
    this.ended = this.ended.filter(({ endNumber }) => endNumber > renewal.acknowledgedEndNumber);
    return {
      type: 'report',
      targetClockMs: this.clock.monotonicMs(),
      running: [...this.running.values()].map(({ start, progressPercent }): RunningTaskReport => ({
        taskName: start.taskName,
        run: start.run,
        progressPercent,
        checkpoint: undefined,
        loadFigure: undefined,
      })),
      ended: this.ended,
    };
  }

  /**
   * Ends what runs.
   * @param taskName - Name of the task.
   * @param end - How it ends.
   * @param checkpoint - What it has saved.
   */
  end(taskName: string, end: TaskEnd, checkpoint?: string): void {
    const { run } = this.running.get(taskName)!.start;
    this.running.delete(taskName);
    this.noteEndedRun(taskName, run);
    this.lastEndNumber += 1;
    this.ended = [...this.ended, { endNumber: this.lastEndNumber, taskName, run, end, checkpoint }];
  }

  private noteEndedRun(taskName: string, run: number): void {
    const highest = this.highestEndedRuns.get(taskName) ?? 0;
    this.highestEndedRuns.set(taskName, Math.max(highest, run));
  }

  private lapse(): void {
    if (this.clock.monotonicMs() < this.leaseUntilMs) return;
    [...this.running].forEach(([taskName, { start }]) => {
      this.lapsedRuns.push({ taskName, run: start.run, atMs: this.leaseUntilMs });
      this.end(taskName, 'lapsed');
    });
  }
}
