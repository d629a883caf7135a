import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Rng } from './Rng.js';

/** Randomness that a seed decides: the same seed gives the same draws everywhere. */
export class SeededRng implements Rng {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  /**
   * Starts the sequence of a seed.
   * @param seed - Any 32-bit integer.
   */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** {@inheritDoc Rng.next} */
  next(): number {
    return uniformFloat64(this.generator);
  }
}
