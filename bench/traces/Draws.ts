import { type Rng, SeededRng } from '../../src/utils/index.js';

/** Draws from the distributions that traces are made of. */
export class Draws {
  private readonly rng: Rng;

  /**
   * Starts the sequence of a seed.
   * @param seed - Any 32-bit integer.
   */
  constructor(seed: number) {
    this.rng = new SeededRng(seed);
  }

  /**
   * Draws a whole number.
   * @param min - Least value.
   * @param max - Greatest value.
   * @returns A number from `min` to `max`, both included.
   */
  integer(min: number, max: number): number {
    return min + Math.floor(this.rng.next() * (max - min + 1));
  }

  /**
   * Draws one of some values.
   * @param values - The values, at least one.
   * @returns One of them.
   */
  pick<Value>(values: readonly Value[]): Value {
    return values[Math.floor(this.rng.next() * values.length)]!;
  }

  /**
   * Draws whether something happens.
   * @param probability - From 0 to 1.
   * @returns Whether it does.
   */
  chance(probability: number): boolean {
    return this.rng.next() < probability;
  }

  /**
   * Draws a whole number that is skewed to the right, as sizes and run times are.
   * @param median - Median of the distribution.
   * @param spread - Standard deviation of its logarithm.
   * @returns At least 1.
   */
  logNormal(median: number, spread: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.rng.next()));
    const normal = radius * Math.cos(2 * Math.PI * this.rng.next());
    return Math.max(1, Math.round(median * Math.exp(spread * normal)));
  }

  /**
   * Draws arrivals that do not know of each other.
   * @param fromMs - Start of the span.
   * @param toMs - End of the span.
   * @param perS - Mean arrivals a second.
   * @returns Times in milliseconds, rising.
   */
  arrivals(fromMs: number, toMs: number, perS: number): readonly number[] {
    const times: number[] = [];
    let timeMs = fromMs;
    while (timeMs < toMs) {
      timeMs += (-Math.log(1 - this.rng.next()) / perS) * 1_000;
      if (timeMs < toMs) times.push(Math.round(timeMs));
    }
    return times;
  }
}
