const MULTIPLIER = 48_271;
const MODULUS = 2_147_483_647;

/**
 * Creates a source of numbers that depend on a seed alone.
 * @param seed - The seed, 1 or more.
 * @returns Draws a number from 0 to 1.
 */
export function createDraw(seed: number): () => number {
  let state = (seed * MULTIPLIER) % MODULUS;
  return () => {
    state = (state * MULTIPLIER) % MODULUS;
    return state / MODULUS;
  };
}
