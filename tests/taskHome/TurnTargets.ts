import type {
  CommandAnswer,
  EndedTaskReport,
  LeaseAnswer,
  LeasedTargetAddress,
  LeasedTargetPort,
  LeaseRenewal,
  RunningTaskReport,
  StartAnswer,
  TaskStart,
} from '../../src/targets/index.js';
import type { VirtualTime } from './histories/VirtualTime.js';

interface TurnTarget {
  readonly running: Map<string, RunningTaskReport>;
  ended: readonly EndedTaskReport[];
  lastEndNumber: number;
  /** Answers the renewal that is held back. */
  answer: () => void;
}

/** Targets in virtual time whose runs all take the same time; they hold renewals back for ends. */
export class TurnTargets implements LeasedTargetPort {
  startCount = 0;

  renewalCount = 0;

  private readonly targets = new Map<string, TurnTarget>();

  constructor(
    private readonly time: VirtualTime,
    private readonly runMs: number,
  ) {}

  async start({ targetId }: LeasedTargetAddress, start: TaskStart): Promise<StartAnswer> {
    const { taskName, run } = start;
    const { running } = this.get(targetId);
    this.startCount += 1;
    running.set(taskName, { taskName, run, progressPercent: 0 });
    this.time.call(this.runMs, () => this.end(targetId, taskName, run));
    return { type: 'started', targetClockMs: this.time.monotonicMs() };
  }

  async stop(): Promise<CommandAnswer> {
    return { type: 'refused', reason: `stopped by a home with ${this.targets.size} targets` };
  }

  async pace(): Promise<CommandAnswer> {
    return { type: 'refused', reason: `paced by a home with ${this.targets.size} targets` };
  }

  async renew({ targetId }: LeasedTargetAddress, renewal: LeaseRenewal): Promise<LeaseAnswer> {
    const { acknowledgedEndNumber, waitMs } = renewal;
    const target = this.get(targetId);
    this.renewalCount += 1;
    target.ended = target.ended.filter(({ endNumber }) => endNumber > acknowledgedEndNumber);
    if (target.ended.length === 0) {
      await new Promise<void>((resolve) => {
        target.answer = resolve;
        this.time.call(waitMs, resolve);
      });
    }
    return {
      type: 'report',
      targetClockMs: this.time.monotonicMs(),
      running: [...target.running.values()],
      ended: target.ended,
      hasAllEnds: true,
    };
  }

  forget(targetId: string): void {
    this.targets.delete(targetId);
  }

  private end(targetId: string, taskName: string, run: number): void {
    const target = this.get(targetId);
    target.running.delete(taskName);
    target.lastEndNumber += 1;
    const endNumber = target.lastEndNumber;
    target.ended = [...target.ended, { endNumber, taskName, run, end: 'done' }];
    target.answer();
  }

  private get(targetId: string): TurnTarget {
    const known = this.targets.get(targetId);
    if (known !== undefined) return known;
    const created: TurnTarget = {
      running: new Map(),
      ended: [],
      lastEndNumber: 0,
      answer: () => undefined,
    };
    this.targets.set(targetId, created);
    return created;
  }
}
