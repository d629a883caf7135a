import { setTimeout as sleep } from 'node:timers/promises';
import type { KeyedLogPort } from '../../../src/store/index.js';
import type { LeasedTargetAddress, LeasedTargetPort } from '../../../src/targets/index.js';
import type { Clock } from '../../../src/utils/index.js';

/** Time that a call of the store takes, in milliseconds. */
const STORE_CALL_MS = 3;
/** Time after which a call to a target that the process can't reach counts as unanswered. */
const CALL_TIMEOUT_MS = 100;

/**
 * The way of one home's process to the outside. A frozen process sends nothing and sees no answer
 * until it thaws; a dead one never does either again, but its calls that are under way go on.
 */
export class HomeGate {
  private state: 'open' | 'frozen' | 'dead' = 'open';

  private waiting: readonly (() => void)[] = [];

  /** Targets that the process can't reach, with the monotonic time until which it can't. */
  private readonly cutOffUntilMs = new Map<string, number>();

  private storeCutOffUntilMs = 0;

  private readonly clock: Clock;

  /**
   * Creates an open gate.
   * @param clock - Clock by which targets are out of reach for a time.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Whether the process is running. */
  get isOpen(): boolean {
    return this.state === 'open';
  }

  /** Whether the process is stopped and may go on. */
  get isFrozen(): boolean {
    return this.state === 'frozen';
  }

  /** Whether the process was killed. */
  get isDead(): boolean {
    return this.state === 'dead';
  }

  /** Stops the process until it thaws. */
  freeze(): void {
    if (this.state === 'open') this.state = 'frozen';
  }

  /** Lets a frozen process go on, with everything that it was about to send. */
  thaw(): void {
    if (this.state !== 'frozen') return;
    this.state = 'open';
    const { waiting } = this;
    this.waiting = [];
    waiting.forEach((goOn) => goOn());
  }

  /** Kills the process. */
  kill(): void {
    this.state = 'dead';
    this.waiting = [];
  }

  /**
   * Cuts the process off from a target.
   * @param targetId - Id of the target.
   * @param untilMs - Monotonic time at which it reaches the target again.
   */
  cutOff(targetId: string, untilMs: number): void {
    this.cutOffUntilMs.set(targetId, untilMs);
  }

  /**
   * Cuts the process off from the store.
   * @param untilMs - Monotonic time at which it reaches the store again.
   */
  cutOffStore(untilMs: number): void {
    this.storeCutOffUntilMs = untilMs;
  }

  /** Lets the process reach the store and every target. */
  reconnect(): void {
    this.cutOffUntilMs.clear();
    this.storeCutOffUntilMs = 0;
  }

  /**
   * Puts the gate before targets.
   * @param port - The targets.
   * @returns The targets as the process sees them.
   */
  guardTargets(port: LeasedTargetPort): LeasedTargetPort {
    return {
      start: (...call) => this.passTo(call[0], () => port.start(...call)),
      stop: (...call) => this.passTo(call[0], () => port.stop(...call)),
      pace: (...call) => this.passTo(call[0], () => port.pace(...call)),
      renew: (...call) => this.passTo(call[0], () => port.renew(...call)),
      forget: (targetId) => port.forget(targetId),
    };
  }

  /**
   * Puts the gate before a store.
   * @param store - The store.
   * @returns The store as the process sees it.
   */
  guardStore(store: KeyedLogPort): KeyedLogPort {
    return {
      append: (request) => this.passToStore(() => store.append(request)),
      readNewest: (...page) => this.passToStore(() => store.readNewest(...page)),
      readFrom: (request) => this.passToStore(() => store.readFrom(request)),
    };
  }

  private passToStore<Answer>(call: () => Promise<Answer>): Promise<Answer> {
    return this.pass(async () => {
      if (this.clock.monotonicMs() < this.storeCutOffUntilMs) return HomeGate.timeOut();
      await sleep(STORE_CALL_MS);
      return call();
    });
  }

  private passTo<Answer>(
    { targetId }: LeasedTargetAddress,
    call: () => Promise<Answer>,
  ): Promise<Answer> {
    const isCutOff = this.clock.monotonicMs() < (this.cutOffUntilMs.get(targetId) ?? 0);
    return this.pass(isCutOff ? HomeGate.timeOut : call);
  }

  private static async timeOut(): Promise<never> {
    await sleep(CALL_TIMEOUT_MS);
    throw new Error('It is out of reach.');
  }

  private async pass<Answer>(call: () => Promise<Answer>): Promise<Answer> {
    await this.whenOpen();
    try {
      return await call();
    } finally {
      await this.whenOpen();
    }
  }

  private async whenOpen(): Promise<void> {
    if (this.state === 'open') return;
    await new Promise<void>((resolve) => {
      this.waiting = [...this.waiting, resolve];
    });
  }
}
