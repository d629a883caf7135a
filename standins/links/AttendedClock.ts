import { type Clock, SystemClock } from '../../src/utils/index.js';

/** How often the clock looks whether the process runs, in milliseconds. */
const LOOK_MS = 10;
/** Longest step from one look to the next: a process that is not held up looks sooner. */
const LONGEST_STEP_MS = 25;

/**
 * A clock that stands still while this process is held up.
 *
 * Guards against verdicts that depend on how busy the machine is: instances, links and targets
 * share one process, and a lease would run out while none of them can do anything.
 */
export class AttendedClock implements Clock {
  private readonly clock = new SystemClock();

  private readonly looker: NodeJS.Timeout;

  private lookedAtMs = this.clock.monotonicMs();

  private countedMs = 0;

  /** Starts the clock; it doesn't keep the process alive. */
  constructor() {
    this.looker = setInterval(() => this.look(), LOOK_MS);
    this.looker.unref();
  }

  /** {@inheritDoc Clock.monotonicMs} */
  monotonicMs(): number {
    const sinceLookMs = this.clock.monotonicMs() - this.lookedAtMs;
    return this.countedMs + Math.min(sinceLookMs, LONGEST_STEP_MS);
  }

  /** {@inheritDoc Clock.wallMs} */
  wallMs(): number {
    return this.clock.wallMs();
  }

  private look(): void {
    this.countedMs = this.monotonicMs();
    this.lookedAtMs = this.clock.monotonicMs();
  }
}
