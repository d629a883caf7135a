import type { Clock } from '../utils/index.js';

interface Sample {
  readonly value: number;
  /** By the monotonic clock, in milliseconds. */
  readonly atMs: number;
}

/** The highest of the values that were recorded within a window. */
export class RecentPeak {
  private readonly clock: Clock;

  private readonly windowMs: number;

  private samples: readonly Sample[] = [];

  /**
   * Creates a peak without values.
   * @param clock - Clock that measures the age of values.
   * @param windowMs - Age from which a value no longer counts, in milliseconds.
   */
  constructor(clock: Clock, windowMs: number) {
    this.clock = clock;
    this.windowMs = windowMs;
  }

  /**
   * Records a value.
   * @param value - The value.
   * @returns The highest value of the window.
   */
  record(value: number): number {
    const atMs = this.clock.monotonicMs();
    const isRecent = (sample: Sample): boolean => sample.atMs > atMs - this.windowMs;
    // A value that is followed by a higher one never is the highest again.
    const kept = this.samples.filter((sample) => isRecent(sample) && sample.value > value);
    this.samples = [...kept, { value, atMs }];
    return this.samples[0]!.value;
  }
}
