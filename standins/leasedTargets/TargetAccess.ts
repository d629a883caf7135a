import type {
  CommandAnswer,
  LeaseAnswer,
  LeasedTargetAddress,
  LeasedTargetPort,
  LeaseRenewal,
  StartAnswer,
  TaskStart,
} from '../../src/targets/index.js';

/** One instance's way to the targets, which can be cut while others have theirs. */
export class TargetAccess implements LeasedTargetPort {
  /** Whether no call reaches a target or is ever answered, as while a process is frozen. */
  isCut = false;

  /** Ids of the targets to which calls from here fail, while others reach them. */
  readonly unreachableTargets = new Set<string>();

  private readonly targets: LeasedTargetPort;

  /**
   * Creates a way that is open.
   * @param targets - The targets.
   */
  constructor(targets: LeasedTargetPort) {
    this.targets = targets;
  }

  /** {@inheritDoc LeasedTargetPort.start} */
  start(target: LeasedTargetAddress, start: TaskStart): Promise<StartAnswer> {
    return this.call(target, () => this.targets.start(target, start));
  }

  /** {@inheritDoc LeasedTargetPort.stop} */
  stop(
    target: LeasedTargetAddress,
    taskName: string,
    run: number,
    term: number,
  ): Promise<CommandAnswer> {
    return this.call(target, () => this.targets.stop(target, taskName, run, term));
  }

  /** {@inheritDoc LeasedTargetPort.pace} */
  pace(
    target: LeasedTargetAddress,
    taskName: string,
    run: number,
    percent: number,
    term: number,
  ): Promise<CommandAnswer> {
    return this.call(target, () => this.targets.pace(target, taskName, run, percent, term));
  }

  /** {@inheritDoc LeasedTargetPort.renew} */
  renew(target: LeasedTargetAddress, renewal: LeaseRenewal): Promise<LeaseAnswer> {
    return this.call(target, () => this.targets.renew(target, renewal));
  }

  /** {@inheritDoc LeasedTargetPort.forget} */
  forget(targetId: string): void {
    this.targets.forget(targetId);
  }

  private call<Answer>(
    { targetId }: LeasedTargetAddress,
    run: () => Promise<Answer>,
  ): Promise<Answer> {
    if (this.isCut) return new Promise(() => {});
    const isReachable = !this.unreachableTargets.has(targetId);
    return isReachable ? run() : Promise.reject(new Error('The target is out of reach.'));
  }
}
