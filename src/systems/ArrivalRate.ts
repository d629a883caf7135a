import type { Clock } from '../utils/index.js';

interface Arrival {
  readonly atMs: number;
  readonly work: number;
}

/**
 * Span over which arrivals are counted, in milliseconds: long enough for a few jobs of a rush of
 * ten a second, short against the 1.5 s that a VM needs to change its pool.
 */
const WINDOW_MS = 700;

/** How much work arrives, over the last moments. */
export class ArrivalRate {
  private readonly clock: Clock;

  private arrivals: readonly Arrival[] = [];

  /**
   * Starts without arrivals.
   * @param clock - Tells which arrivals are recent.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Takes note of work that has arrived.
   * @param work - Thousandths of a core times milliseconds.
   */
  note(work: number): void {
    this.arrivals = [...this.listRecent(), { atMs: this.clock.monotonicMs(), work }];
  }

  /** Processor that would keep up with the arrivals, in thousandths of a core. */
  get cpuMillicores(): number {
    return this.listRecent().reduce((sum, { work }) => sum + work, 0) / WINDOW_MS;
  }

  private listRecent(): readonly Arrival[] {
    const fromMs = this.clock.monotonicMs() - WINDOW_MS;
    return this.arrivals.filter(({ atMs }) => atMs >= fromMs);
  }
}
