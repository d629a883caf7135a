import { DEFAULT_STEP_MS } from '../systems/index.js';
import { type Clock, followMean } from '../utils/index.js';

/** Weight of the latest step in the moving mean; the last few steps dominate. */
const SMOOTHING_FACTOR = 0.2;
/** Factor on the mean, so that a step that takes longer does not make the wave late. */
const MARGIN_FACTOR = 1.5;

/** Measures the steps of waves: the time from the start of a VM's drain until the VM is back. */
export class WaveStepTimer {
  private readonly clock: Clock;

  private readonly startedAtMs = new Map<string, number>();

  private meanMs: number | undefined;

  /**
   * Creates a timer without measurements.
   * @param clock - Clock that measures the steps.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Expected duration of a step, in milliseconds. */
  get expectedMs(): number {
    return this.meanMs === undefined
      ? DEFAULT_STEP_MS
      : Math.min(DEFAULT_STEP_MS, this.meanMs * MARGIN_FACTOR);
  }

  /**
   * Starts the step of a VM, which gets no new tasks from now on.
   * @param vm - The VM.
   */
  startStep(vm: string): void {
    this.startedAtMs.set(vm, this.clock.monotonicMs());
  }

  /**
   * Ends the steps of all VMs that are back.
   * @param outVms - VMs that are still being drained or are down.
   */
  endStepsExcept(outVms: ReadonlySet<string>): void {
    const nowMs = this.clock.monotonicMs();
    [...this.startedAtMs]
      .filter(([vm]) => !outVms.has(vm))
      .forEach(([vm, atMs]) => {
        const stepMs = nowMs - atMs;
        this.meanMs = followMean(this.meanMs ?? stepMs, stepMs, SMOOTHING_FACTOR);
        this.startedAtMs.delete(vm);
      });
  }
}
