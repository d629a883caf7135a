import { setTimeout as sleep } from 'node:timers/promises';
import type { KeyedLogPort } from '../../../src/store/index.js';
import type { LeasedTargetPort } from '../../../src/targets/index.js';

/** Time that a call of the store takes, in milliseconds. */
const STORE_CALL_MS = 3;

/**
 * The way of one home's process to the outside. A frozen process sends nothing and sees no answer
 * until it thaws; a dead one never does either again, but its calls that are under way go on.
 */
export class HomeGate {
  private state: 'open' | 'frozen' | 'dead' = 'open';

  private waiting: readonly (() => void)[] = [];

  /** Whether the process is running. */
  get isOpen(): boolean {
    return this.state === 'open';
  }

  /** Whether the process is stopped and may go on. */
  get isFrozen(): boolean {
    return this.state === 'frozen';
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
   * Puts the gate before targets.
   * @param port - The targets.
   * @returns The targets as the process sees them.
   */
  guardTargets(port: LeasedTargetPort): LeasedTargetPort {
    return {
      start: (...call) => this.pass(() => port.start(...call)),
      stop: (...call) => this.pass(() => port.stop(...call)),
      pace: (...call) => this.pass(() => port.pace(...call)),
      renew: (...call) => this.pass(() => port.renew(...call)),
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
      await sleep(STORE_CALL_MS);
      return call();
    });
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
