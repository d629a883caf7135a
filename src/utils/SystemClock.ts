import type { Clock } from './Clock.js';

/** Clock of the machine that the process runs on. */
export class SystemClock implements Clock {
  private readonly originNs = process.hrtime.bigint();

  /** {@inheritDoc Clock.monotonicMs} */
  monotonicMs(): number {
    return Number(process.hrtime.bigint() - this.originNs) / 1e6;
  }

  /** {@inheritDoc Clock.wallMs} */
  // eslint-disable-next-line class-methods-use-this -- the interface asks for a method
  wallMs(): number {
    return Date.now();
  }
}
