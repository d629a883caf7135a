/** Source of randomness, injected so that a seed decides every draw. */
export interface Rng {
  /**
   * Draws a number from the uniform distribution.
   * @returns A number from 0 inclusive to 1 exclusive.
   */
  next(): number;
}
