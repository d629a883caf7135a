import type {
  EndedTaskReport,
  LeaseAnswer,
  LeaseRenewal,
  StartAnswer,
  TaskStart,
} from '../../src/targets/index.js';
import { type Clock, whenAborted } from '../../src/utils/index.js';
import type { CallFate, FatedCall, TargetCondition } from './CallFate.js';
import { LeasedTarget } from './LeasedTarget.js';
import type { TargetObserver } from './TargetObserver.js';

/** Options of {@link TargetLifetime}. */
export interface TargetLifetimeOptions {
  readonly targetId: string;
  /** Clock of all targets. */
  readonly clock: Clock;
  readonly observer: TargetObserver;
  /** How fast the target's own clock runs, as a multiple of the clock of all targets. */
  readonly clockRate: number;
  /** When its own clock showed 0, by the clock of all targets. */
  readonly clockStartMs: number;
}

/** One lifetime of a target, with what is known of it outside. */
export class TargetLifetime {
  private readonly options: TargetLifetimeOptions;

  private readonly target: LeasedTarget;

  /** Numbers of the runs that go on, by the names of their tasks. */
  private readonly runs = new Map<string, number>();

  private readonly fates = new Map<FatedCall, CallFate[]>();

  private readonly connections = new AbortController();

  private seenEndNumber = 0;

  /** State of the target, until it is changed. */
  condition: TargetCondition = 'well';

  /** Resolves as the connections break, when the target starts again. */
  readonly whenReset: Promise<undefined> = whenAborted(this.connections.signal);

  /**
   * Creates a lifetime in which nothing runs.
   * @param options - The target, its clock, and who is told what happens.
   */
  constructor(options: TargetLifetimeOptions) {
    const { clock, clockRate, clockStartMs } = options;
    this.options = options;
    this.target = new LeasedTarget({
      monotonicMs: () => (clock.monotonicMs() - clockStartMs) * clockRate,
      wallMs: () => clock.wallMs(),
    });
  }

  /** Breaks the connections of this lifetime. */
  breakConnections(): void {
    this.connections.abort();
  }

  /**
   * Chooses what happens to the next calls of a kind for which nothing is chosen yet.
   * @param call - Kind of the calls.
   * @param fates - What happens to one after the other.
   */
  addFates(call: FatedCall, fates: readonly CallFate[]): void {
    this.fates.set(call, [...(this.fates.get(call) ?? []), ...fates]);
  }

  /**
   * Takes what happens to the next call of a kind.
   * @param call - Kind of the call.
   * @returns What was chosen, or undefined if nothing was.
   */
  takeFate(call: FatedCall): CallFate | undefined {
    return this.fates.get(call)?.shift();
  }

  /**
   * Tells whether something is chosen for the next call of a kind.
   * @param call - Kind of the call.
   * @returns Whether something is.
   */
  hasFate(call: FatedCall): boolean {
    return (this.fates.get(call) ?? []).length > 0;
  }

  /** Makes the target well, with nothing chosen for its next calls. */
  liftFaults(): void {
    this.condition = 'well';
    this.fates.clear();
  }

  /**
   * Finds the run of a task that goes on.
   * @param taskName - Name of the task.
   * @returns Its number, or undefined if the task does not run.
   */
  findRun(taskName: string): number | undefined {
    return this.runs.get(taskName);
  }

  /**
   * Starts a run, unless it goes on already.
   * @param start - The run.
   * @returns The target's answer.
   */
  begin(start: TaskStart): StartAnswer {
    const { taskName, run } = start;
    const isRepeat = this.runs.get(taskName) === run;
    const answer = this.target.start(start);
    if (answer.type !== 'started' || isRepeat) return answer;
    this.options.observer.onBegun(this.options.targetId, taskName, run);
    this.runs.set(taskName, run);
    return answer;
  }

  /** See {@link LeasedTarget.stop}. */
  stop(...order: Parameters<LeasedTarget['stop']>): ReturnType<LeasedTarget['stop']> {
    return this.target.stop(...order);
  }

  /** See {@link LeasedTarget.end}. */
  end(...order: Parameters<LeasedTarget['end']>): ReturnType<LeasedTarget['end']> {
    return this.target.end(...order);
  }

  /** See {@link LeasedTarget.renew}. */
  renew(renewal: LeaseRenewal): LeaseAnswer {
    return this.target.renew(renewal);
  }

  /** Tells the observer what has ended since the last look. */
  observe(): void {
    const { targetId, clock, clockRate, clockStartMs, observer } = this.options;
    const running = new Set(this.target.runningNames);
    const { unacknowledged } = this.target;
    const leaseEndsAtMs = clockStartMs + this.target.leaseEndsAtMs / clockRate;
    const nowMs = clock.monotonicMs();
    unacknowledged
      .filter(({ endNumber }) => endNumber > this.seenEndNumber)
      .forEach((ended) => {
        this.seenEndNumber = ended.endNumber;
        observer.onEnded(targetId, ended, ended.end === 'lapsed' ? leaseEndsAtMs : nowMs);
        this.forgetEnded(ended, running);
      });
    if (leaseEndsAtMs <= nowMs) observer.onLapsed(targetId, leaseEndsAtMs);
  }

  private forgetEnded({ taskName }: EndedTaskReport, running: ReadonlySet<string>): void {
    if (!running.has(taskName)) this.runs.delete(taskName);
  }
}
