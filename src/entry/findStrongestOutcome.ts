import type { Outcome } from '../errors/index.js';

const OUTCOMES_BY_STRENGTH: readonly Outcome[] = ['not-run', 'unknown', 'run'];

/**
 * Combines the outcomes of two attempts at a request.
 * @param one - Outcome of one attempt.
 * @param other - Outcome of the other.
 * @returns The stronger outcome: `run` outranks `unknown`, which outranks `not-run`.
 */
export function findStrongestOutcome(one: Outcome, other: Outcome): Outcome {
  const getStrength = (outcome: Outcome) => OUTCOMES_BY_STRENGTH.indexOf(outcome);
  return getStrength(one) >= getStrength(other) ? one : other;
}
