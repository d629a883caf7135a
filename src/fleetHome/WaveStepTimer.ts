import { STEP_MS } from '../systems/index.js';
import { type Clock, followMean } from '../utils/index.js';

/** Weight of the latest step in the mean: the last handful decide. */
const LEARNING_RATE = 0.2;
/** Added to what was seen: a step that takes longer than the mean must not make the wave late. */
const MARGIN_FACTOR = 1.5;

/** Times how long VMs are out for a wave, from the first task kept off until they are back. */
export class WaveStepTimer {
  private readonly clock: Clock;

  private readonly begunAtMs = new Map<string, number>();

  private meanMs: number | undefined;

  /**
   * Starts without measurements.
   * @param clock - Times the steps.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Time that a step is expected to take, in milliseconds. */
  get expectedMs(): number {
    return this.meanMs === undefined ? STEP_MS : Math.min(STEP_MS, this.meanMs * MARGIN_FACTOR);
  }

  /**
   * Takes note of a VM that gets no more tasks.
   * @param vm - The VM.
   */
  begin(vm: string): void {
    this.begunAtMs.set(vm, this.clock.monotonicMs());
  }

  /**
   * Takes note of which VMs are still out; the others are back.
   * @param outVms - VMs that are being emptied or are down.
   */
  noteOut(outVms: ReadonlySet<string>): void {
    const nowMs = this.clock.monotonicMs();
    [...this.begunAtMs]
      .filter(([vm]) => !outVms.has(vm))
      .forEach(([vm, atMs]) => {
        const tookMs = nowMs - atMs;
        this.meanMs = followMean(this.meanMs ?? tookMs, tookMs, LEARNING_RATE);
        this.begunAtMs.delete(vm);
      });
  }
}
