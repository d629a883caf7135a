import type {
  LeaseAnswer,
  LeasedTargetAddress,
  LeasedTargetPort,
  LeaseRenewal,
  CommandAnswer,
  StartAnswer,
  TaskStart,
} from '../../src/targets/index.js';
import type { Clock } from '../../src/utils/index.js';
import { type CallLater, HeldTarget } from './HeldTarget.js';

const callLaterByTimer: CallLater = (afterMs, run) => {
  const timer = setTimeout(run, afterMs);
  return () => clearTimeout(timer);
};

/** Targets in memory that hold renewals back until a task ends, as real ones do. */
export class HeldTargets implements LeasedTargetPort {
  /** Starts that were carried out. */
  startCount = 0;

  /** Renewals that were taken. */
  renewalCount = 0;

  /** Other orders that were accepted, and change nothing here. */
  orderCount = 0;

  private readonly clock: Clock;

  /** How long each task runs, in milliseconds. */
  private readonly runMs: number;

  private readonly callLater: CallLater;

  private readonly targets = new Map<string, HeldTarget>();

  /**
   * Creates the targets; one appears with the first call to it.
   * @param clock - Clock of the targets.
   * @param runMs - How long each task runs, in milliseconds.
   * @param callLater - Timer by the same clock; that of this machine if absent.
   */
  constructor(clock: Clock, runMs: number, callLater: CallLater = callLaterByTimer) {
    this.clock = clock;
    this.runMs = runMs;
    this.callLater = callLater;
  }

  /** {@inheritDoc LeasedTargetPort.start} */
  async start({ targetId }: LeasedTargetAddress, start: TaskStart): Promise<StartAnswer> {
    const { taskName, run } = start;
    const target = this.get(targetId);
    const report = { taskName, run, progressPercent: 0, checkpoint: undefined };
    target.running.set(taskName, { ...report, loadFigure: undefined });
    this.startCount += 1;
    this.callLater(this.runMs, () => target.end(taskName, run));
    return { type: 'started', targetClockMs: this.clock.monotonicMs() };
  }

  /** {@inheritDoc LeasedTargetPort.stop} */
  async stop(): Promise<CommandAnswer> {
    return this.accept();
  }

  /** {@inheritDoc LeasedTargetPort.pace} */
  async pace(): Promise<CommandAnswer> {
    return this.accept();
  }

  /** {@inheritDoc LeasedTargetPort.renew} */
  async renew({ targetId }: LeasedTargetAddress, renewal: LeaseRenewal): Promise<LeaseAnswer> {
    const target = this.get(targetId);
    this.renewalCount += 1;
    const { acknowledgedEndNumber, waitMs } = renewal;
    target.ended = target.ended.filter(({ endNumber }) => endNumber > acknowledgedEndNumber);
    if (target.ended.length === 0) await target.waitForEnd(waitMs);
    const running = [...target.running.values()];
    const targetClockMs = this.clock.monotonicMs();
    return { type: 'report', targetClockMs, running, ended: target.ended, hasAllEnds: true };
  }

  /** {@inheritDoc LeasedTargetPort.forget} */
  forget(targetId: string): void {
    this.targets.delete(targetId);
  }

  private accept(): CommandAnswer {
    this.orderCount += 1;
    return { type: 'accepted' };
  }

  private get(targetId: string): HeldTarget {
    const known = this.targets.get(targetId);
    if (known !== undefined) return known;
    const created = new HeldTarget(this.callLater);
    this.targets.set(targetId, created);
    return created;
  }
}
