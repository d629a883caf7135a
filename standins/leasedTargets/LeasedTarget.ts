import type {
  EndedTaskReport,
  LeaseAnswer,
  LeaseRenewal,
  CommandAnswer,
  RunningTaskReport,
  StartAnswer,
  StartRefusal,
  TaskEnd,
  TaskStart,
} from '../../src/targets/index.js';
import type { Clock } from '../../src/utils/index.js';

/** What runs on a target. */
interface Running {
  readonly start: TaskStart;
  readonly begunAtMs: number;
  /** Progress that a test has set, in percent; undefined if it follows from the run's age. */
  setPercent?: number;
}

/** A run that was killed as nobody renewed the lease. */
export interface LapsedRun {
  readonly taskName: string;
  readonly run: number;
  /** When the lease ended, by the target's monotonic clock. */
  readonly atMs: number;
}

/** Most ends that a report lists, unless a test sets fewer. */
const MAX_LISTED_END_COUNT = 500;

const WHOLE_PERCENT = 100;

/** One lifetime of a target: what it runs, what has ended, and which term it has seen. */
export class LeasedTarget {
  /** Runs that were killed for the lease, in order; those of others' questions count at once. */
  readonly lapsedRuns: LapsedRun[] = [];

  /** Most ends that a report lists, the oldest first. */
  maxListedEndCount = MAX_LISTED_END_COUNT;

  /** How long the tasks take here, in milliseconds; each is at work at once if it is 0. */
  runMs = 0;

  private readonly clock: Clock;

  /** What runs, the newest run last; a faulty home may start two runs of a task. */
  private running: readonly Running[] = [];

  private ended: EndedTaskReport[] = [];

  private readonly highestEndedRuns = new Map<string, number>();

  /** Tasks that were done, without those whose end may be lost. */
  private readonly done = new Set<string>();

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

  /** Highest term that has reached the target. */
  get knownTerm(): number {
    return this.highestTerm;
  }

  /** Tasks that run at this moment. */
  get runningNames(): readonly string[] {
    this.lapse();
    return this.running.map(({ start }) => start.taskName);
  }

  /** Ends that nobody has acknowledged. */
  get unacknowledged(): readonly EndedTaskReport[] {
    return this.ended;
  }

  /**
   * Lists the tasks that were done here. An end does not count whose target's lease lapsed before
   * it was acknowledged, whatever comes later.
   */
  get doneNames(): readonly string[] {
    this.lapse();
    return [...this.done];
  }

  /** The tasks that were done here and whose ends were acknowledged in time. */
  get acknowledgedDoneNames(): readonly string[] {
    const open = new Set(this.ended.map(({ taskName }) => taskName));
    return this.doneNames.filter((taskName) => !open.has(taskName));
  }

  /**
   * Tells whether a run is there.
   * @param taskName - Name of the task.
   * @param run - Number of the run.
   * @returns Whether it is running.
   */
  isRunning(taskName: string, run: number): boolean {
    this.lapse();
    return this.running.some(({ start }) => start.taskName === taskName && start.run === run);
  }

  /**
   * Carries a start out.
   * @param start - The start.
   * @param refusal - Reason to refuse a start that would be carried out.
   * @returns The answer.
   */
  start(start: TaskStart, refusal?: StartRefusal): StartAnswer {
    this.lapse();
    const targetClockMs = this.clock.monotonicMs();
    const refuse = (reason: StartRefusal): StartAnswer => ({
      type: 'refused',
      reason,
      targetClockMs,
    });
    if (refusal === 'unhealthy' || refusal === 'malformed') return refuse(refusal);
    if (start.term < this.highestTerm) return refuse('stale-term');
    this.highestTerm = start.term;
    if (this.isRunning(start.taskName, start.run)) return { type: 'started', targetClockMs };
    const isStale = start.run <= (this.highestEndedRuns.get(start.taskName) ?? 0);
    if (isStale || refusal === undefined || refusal === 'no-room') {
      this.leaseUntilMs = Math.max(this.leaseUntilMs, start.leaseUntilTargetMs);
    }
    if (isStale) return refuse('stale-run');
    if (refusal !== undefined) return refuse(refusal);
    if (this.leaseUntilMs <= targetClockMs) return refuse('lease-past');
    this.running = [...this.running, { start, begunAtMs: targetClockMs }];
    return { type: 'started', targetClockMs };
  }

  /** Carries a stop out; a run that is not there is refused from then on. */
  stop(taskName: string, run: number, term: number): CommandAnswer {
    this.lapse();
    if (term < this.highestTerm) return { type: 'refused', reason: 'stale-term' };
    this.highestTerm = term;
    if (this.isRunning(taskName, run)) this.endRun({ taskName, run }, { end: 'stopped' });
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
      running: this.running.map(({ start, begunAtMs, setPercent }): RunningTaskReport => ({
        taskName: start.taskName,
        run: start.run,
        progressPercent: setPercent ?? this.getProgressPercent(begunAtMs),
        checkpoint: undefined,
        loadFigure: undefined,
      })),
      ended: this.ended.slice(0, this.maxListedEndCount),
      hasAllEnds: this.ended.length < this.maxListedEndCount,
    };
  }

  /**
   * Sets the progress that later reports show of a run.
   * @param taskName - Name of the task.
   * @param progressPercent - The progress, in percent.
   */
  setProgress(taskName: string, progressPercent: number): void {
    const running = this.running.findLast(({ start }) => start.taskName === taskName)!;
    running.setPercent = progressPercent;
  }

  /**
   * Ends what runs.
   * @param taskName - Name of the task.
   * @param end - How it ends.
   * @param checkpoint - What it has saved.
   */
  end(taskName: string, end: TaskEnd, checkpoint?: string): void {
    const { start } = this.running.findLast((running) => running.start.taskName === taskName)!;
    this.endRun(start, { end, checkpoint });
  }

  private getProgressPercent(begunAtMs: number): number {
    if (this.runMs === 0) return WHOLE_PERCENT;
    const ranMs = this.clock.monotonicMs() - begunAtMs;
    return Math.min(WHOLE_PERCENT - 1, Math.floor((WHOLE_PERCENT * ranMs) / this.runMs));
  }

  private endRun(
    { taskName, run }: Pick<TaskStart, 'taskName' | 'run'>,
    { end, checkpoint }: Pick<EndedTaskReport, 'end' | 'checkpoint'>,
  ): void {
    this.running = this.running.filter(
      ({ start }) => start.taskName !== taskName || start.run !== run,
    );
    this.noteEndedRun(taskName, run);
    this.lastEndNumber += 1;
    this.ended = [...this.ended, { endNumber: this.lastEndNumber, taskName, run, end, checkpoint }];
    if (end === 'done') this.done.add(taskName);
  }

  private noteEndedRun(taskName: string, run: number): void {
    const highest = this.highestEndedRuns.get(taskName) ?? 0;
    this.highestEndedRuns.set(taskName, Math.max(highest, run));
  }

  private lapse(): void {
    if (this.clock.monotonicMs() < this.leaseUntilMs) return;
    this.ended
      .filter(({ end }) => end === 'done')
      .forEach(({ taskName }) => this.done.delete(taskName));
    this.running.forEach(({ start: { taskName, run } }) => {
      this.lapsedRuns.push({ taskName, run, atMs: this.leaseUntilMs });
      this.endRun({ taskName, run }, { end: 'lapsed' });
    });
  }
}
