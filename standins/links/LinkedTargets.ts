import type {
  CommandAnswer,
  LeaseAnswer,
  LeasedTargetAddress,
  LeasedTargetPort,
  LeaseRenewal,
  StartAnswer,
  TaskStart,
} from '../../src/targets/index.js';
import { LinkedCalls } from './LinkedCalls.js';
import type { NarrowLink } from './NarrowLink.js';

/** Body of a short request or answer, in bytes. */
const SHORT_BODY_BYTES = 100;
/** A row of what runs or has ended, without the name of its task, in bytes. */
const ROW_BYTES = 30;
/** Longest wait for an answer of a target beyond the wait that it was asked for. */
const ORDER_TIMEOUT_MS = 1_000;

function measureReport(answer: LeaseAnswer): number {
  if (answer.type !== 'report') return SHORT_BODY_BYTES;
  return [...answer.running, ...answer.ended]
    .map(({ taskName, checkpoint = '' }) => ROW_BYTES + taskName.length + checkpoint.length)
    .reduce((total, size) => total + size, SHORT_BODY_BYTES);
}

/** An instance's way to the targets over its link. */
export class LinkedTargets implements LeasedTargetPort {
  private readonly targets: LeasedTargetPort;

  private readonly calls: LinkedCalls;

  /**
   * Creates a way over a link.
   * @param targets - The targets at the other end.
   * @param link - The link of the instance.
   */
  constructor(targets: LeasedTargetPort, link: NarrowLink) {
    this.targets = targets;
    this.calls = new LinkedCalls(link);
  }

  /** {@inheritDoc LeasedTargetPort.start} */
  start(target: LeasedTargetAddress, start: TaskStart): Promise<StartAnswer> {
    const requestBytes = SHORT_BODY_BYTES + start.taskName.length + start.payload.length;
    return this.command(requestBytes, () => this.targets.start(target, start));
  }

  /** {@inheritDoc LeasedTargetPort.stop} */
  stop(
    target: LeasedTargetAddress,
    taskName: string,
    run: number,
    term: number,
  ): Promise<CommandAnswer> {
    return this.command(SHORT_BODY_BYTES, () => this.targets.stop(target, taskName, run, term));
  }

  /** {@inheritDoc LeasedTargetPort.pace} */
  pace(
    target: LeasedTargetAddress,
    taskName: string,
    run: number,
    percent: number,
    term: number,
  ): Promise<CommandAnswer> {
    return this.command(SHORT_BODY_BYTES, () =>
      this.targets.pace(target, taskName, run, percent, term),
    );
  }

  /** {@inheritDoc LeasedTargetPort.renew} */
  renew(target: LeasedTargetAddress, renewal: LeaseRenewal): Promise<LeaseAnswer> {
    return this.calls.call({
      requestBytes: SHORT_BODY_BYTES,
      run: () => this.targets.renew(target, renewal),
      measure: measureReport,
      timeoutMs: ORDER_TIMEOUT_MS + renewal.waitMs,
    });
  }

  /** {@inheritDoc LeasedTargetPort.forget} */
  forget(targetId: string): void {
    this.targets.forget(targetId);
  }

  private command<Answer>(requestBytes: number, run: () => Promise<Answer>): Promise<Answer> {
    const measure = (): number => SHORT_BODY_BYTES;
    return this.calls.call({ requestBytes, run, measure, timeoutMs: ORDER_TIMEOUT_MS });
  }
}
